/** A link between two controllers: a TCP proxy on loopback that can delay what flows back from the server. */
import net from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

/** Forwards connections to one port. */
export class Link {
  constructor(targetPort) {
    this.delayMs = 0;
    this.sockets = new Set();
    this.server = net.createServer((client) => {
      const target = net.connect({ port: targetPort, host: '127.0.0.1', noDelay: true });
      client.setNoDelay(true);
      this.forward(client, target, () => 0);
      this.forward(target, client, () => this.delayMs);
    });
  }

  /** Listens on a free port and resolves with it. */
  listen() {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', () => resolve(this.server.address().port));
    });
  }

  /** Bytes stay in order: none is forwarded before those that arrived earlier. */
  forward(from, to, delayOf) {
    this.sockets.add(from);
    let freeAt = 0;
    const after = (run) => {
      const now = performance.now();
      freeAt = Math.max(freeAt, now + delayOf());
      if (freeAt <= now) run();
      else setTimeout(run, freeAt - now);
    };
    from.on('data', (chunk) => after(() => to.writable && to.write(chunk)));
    from.on('error', () => from.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      after(() => to.destroy());
    });
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
