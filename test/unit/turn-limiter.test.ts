/**
 * Work that is spread over turns of the event loop. Guards against a burst of relayed requests that are all handled in one
 * turn, in which Node accepts only one connection: health checks and workers then wait until they give up.
 */
import assert from 'node:assert/strict';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { PeerRequestHandler } from '../../src/api/peer-request-handler.js';
import { ms, seconds, type Clock } from '../../src/units/index.js';
import { systemClock } from '../../src/units/system-clock.js';
import { TurnLimiter } from '../../src/units/turn-limiter.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

void test('tasks begin in order, a limited number in each turn', async () => {
  const time = new VirtualTime();
  const processClock = new ProcessClock(time, 0, 0);
  const turnMs = 10;
  const clock: Pick<Clock, 'after'> = {
    after: (delay, run) => processClock.after(ms(Math.max(delay, turnMs)), run),
  };
  const limiter = new TurnLimiter(clock, 3);
  const started: [task: number, at: number][] = [];
  for (let task = 0; task < 8; task++)
    void limiter.waitForTurn().then(() => started.push([task, time.now]));
  await new Promise((resolve) => setImmediate(resolve));
  await time.run(100);
  await limiter.waitForTurn();
  started.push([8, time.now]);
  assert.deepEqual(started, [
    [0, 0],
    [1, 0],
    [2, 0],
    [3, 10],
    [4, 10],
    [5, 10],
    [6, 20],
    [7, 20],
    [8, 100],
  ]);
});

/** Occupies the process, as the handling of a request does on a small share of a processor. */
function occupyProcess(durationMs: number): void {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
}

void test('connections are accepted while a burst of relayed requests is handled', async () => {
  const requestCount = 640;
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
