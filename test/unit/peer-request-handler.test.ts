/**
 * Requests of peers. Guards against a burst of relayed requests that are all handled in one turn of the event loop, in which
 * Node accepts only one connection: health checks and workers then wait until they give up.
 */
import assert from 'node:assert/strict';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { PeerRequestHandler } from '../../src/api/peer-request-handler.js';
import { seconds } from '../../src/units/index.js';
import { systemClock } from '../../src/units/system-clock.js';

/** Occupies the process, as the handling of a request does on a small share of a processor. */
function occupyProcess(durationMs: number): void {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
}

void test('connections are accepted while a burst of relayed requests is handled', async () => {
  const requestCount = 200;
  const connectionCount = 10;
  let handledCount = 0;
  const handler = new PeerRequestHandler({
    leaderView: {} as never,
    workerHeartbeatHandler: {} as never,
    requestMetrics: { record: () => undefined },
    clock: systemClock,
    http: {} as never,
    events: { onImageHints: () => undefined, onHeartbeat: (status) => status },
    userRequestHandler: {
      handleRelayed: () => {
        occupyProcess(1);
        handledCount++;
        return Promise.resolve({ status: 200 });
      },
    } as never,
  });
  const handledAtAccept: number[] = [];
  const server = net.createServer((socket) => {
    handledAtAccept.push(handledCount);
    socket.destroy();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const clients = Array.from({ length: connectionCount }, () => {
    const client = net.connect({ port, host: '127.0.0.1', timeout: seconds(10) });
    client.on('error', () => undefined);
    return client;
  });
  try {
    const burst = Array.from({ length: requestCount }, (_, i) =>
      handler.handle({ type: 'readJob', job: `run-${i}` }),
    );
    await Promise.all(burst);
    const acceptedDuringBurst = handledAtAccept.filter((handled) => handled < requestCount);
    assert.equal(acceptedDuringBurst.length, connectionCount, handledAtAccept.join(' '));
  } finally {
    for (const client of clients) client.destroy();
    server.close();
  }
});
