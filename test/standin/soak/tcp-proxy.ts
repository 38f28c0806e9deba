/** A TCP proxy on loopback that can cut or refuse the connections through it, for faults between real processes. */
import net from 'node:net';

/** `cut`: bytes are held back and delivered once the cut ends. `refuse`: connections are reset. */
export type LinkState = 'open' | 'cut' | 'refuse';

/** Forwards connections to one port. */
export class TcpProxy {
  private readonly server: net.Server;
  private readonly pairs = new Set<readonly [net.Socket, net.Socket]>();
  private state: LinkState = 'open';

  constructor(private readonly targetPort: number) {
    this.server = net.createServer((client) => this.accept(client));
  }

  /** Listens on a free port and resolves with it. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', () =>
        resolve((this.server.address() as net.AddressInfo).port),
      );
    });
  }

  /** Changes the state of all connections, also of later ones. */
  setState(state: LinkState): void {
    this.state = state;
    for (const pair of this.pairs) {
      for (const socket of pair) {
        if (state === 'refuse') socket.destroy();
        else if (state === 'cut') socket.pause();
        else socket.resume();
      }
    }
  }

  /** Closes the server and all connections. */
  close(): void {
    this.server.close();
    this.setState('refuse');
  }

  private accept(client: net.Socket): void {
    if (this.state === 'refuse') {
      client.resetAndDestroy();
      return;
    }
    const target = net.connect({ port: this.targetPort, host: '127.0.0.1' });
    const pair = [client, target] as const;
    this.pairs.add(pair);
    this.forward(client, target, pair);
    this.forward(target, client, pair);
    if (this.state === 'cut') for (const socket of pair) socket.pause();
  }

  private forward(from: net.Socket, to: net.Socket, pair: readonly [net.Socket, net.Socket]): void {
    from.on('data', (chunk: Buffer) => to.write(chunk));
    from.on('error', () => from.destroy());
    from.on('close', () => {
      to.destroy();
      this.pairs.delete(pair);
    });
  }
}
