/** The autoscaler: the order of its cloud calls, their repeats, its pauses and its end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { Autoscaler } from '../../src/capacity/autoscaler.js';
import { CloudClient } from '../../src/cloud/client.js';
import { MachineCatalog } from '../../src/cloud/machine-catalog.js';
import { defaultOperator } from '../../src/config/operator.js';
import { parseSettings } from '../../src/config/settings.js';
import { Job } from '../../src/ledger/job.js';
import type { QueueEntry } from '../../src/ledger/placement-order.js';
import type { Outcome, Request } from '../../src/net/http.js';
import { Endpoint, Epoch, JobId, Revision, SteadyMs, ms } from '../../src/units/index.js';
import { encodeMachineTypes, type JobSpec } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { machineTypes } from '../standin/machine-types.js';
import { emptyFleet } from '../support/fleet.js';
import { jobSpec } from '../support/job-spec.js';
import { settingsFile } from '../support/settings-file.js';

/** A scale-out request as the cloud receives it. */
interface Hire {
  readonly hire: string;
  readonly hall: string;
  readonly loaners: boolean;
  readonly how_many: number;
}

const ok = (body: unknown): Outcome => ({ kind: 'answer', status: 200, body });
const NO_CAPACITY: Outcome = { kind: 'answer', status: 503, body: { error: 'no capacity' } };
const NO_ANSWER: Outcome = { kind: 'unknown', reason: 'no answer in time' };

/**
 * An autoscaler with a queue of one job of 8 CPUs, for which one machine is enough, ticked every 500 ms.
 * Scale-out requests get the `answers` in turn, and then machines.
 */
function autoscalerWith({
  answers = [],
  answerAfter = 5,
  change = {},
}: {
  answers?: Outcome[];
  answerAfter?: number;
  change?: Partial<JobSpec>;
}) {
  const settings = parseSettings(settingsFile(0));
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const calls: string[] = [];
  const requests: { at: number; body: Hire }[] = [];
  const respond = (request: Request): Outcome => {
    if (request.path === '/flavors') return ok(encodeMachineTypes(machineTypes));
    if (request.path !== '/machines') return ok({ boxes: [], has_next: false });
    const body = request.body as Hire;
    requests.push({ at: time.now, body });
    return answers.shift() ?? ok({ boxes: [`m-${requests.length}`] });
  };
  const http = {
    send: (request: Request): Promise<Outcome> => {
      calls.push(`${request.method} ${request.path}`);
      const outcome = respond(request);
      return new Promise((resolve) => time.after(answerAfter, () => resolve(outcome)));
    },
  };
  const fleet = emptyFleet(settings.workers.lease);
  const job = new Job(JobId('run-000001'), jobSpec(change), clock.wall(), Revision(1));
  const entry: QueueEntry = {
    rank: 2,
    isLate: false,
    dueAt: 0,
    job,
    taskCount: 4,
    mustStart: false,
  };
  const autoscaler = new Autoscaler(
    {
      fleet,
      respondingSince: () => SteadyMs(0),
      unreachableAt: new Map(),
      queue: () => [entry],
      specOf: () => job.spec,
      anticipatedWork: () => [],
      onMachineRemoved: () => undefined,
    },
    {
      cloud: new CloudClient(http, Endpoint('10.2.0.2:8443'), clock, 4),
      catalog: new MachineCatalog(),
      epoch: Epoch(7),
      settings,
      operator: defaultOperator,
      clock,
      random: () => 0.5,
      log: pino({ level: 'silent' }),
    },
  );
  const tick = (): void => {
    autoscaler.tick();
    clock.after(ms(500), tick);
  };
  tick();
  return { autoscaler, time, fleet, calls, requests };
}

void test('the machine types are read first, then machines are rented, then they are listed', async () => {
  const { time, calls, requests, fleet } = autoscalerWith({});
  await time.run(3000);
  assert.deepEqual(calls, ['GET /flavors', 'POST /machines', 'GET /machines?limit=500']);
  const { body } = requests[0]!;
  assert.deepEqual([body.hire, body.hall, body.loaners, body.how_many], ['e7-1', 'a', true, 1]);
  assert.deepEqual([...fleet.machines.keys()], ['m-1']);
});

void test('one call is made at a time', async () => {
  const { time, calls } = autoscalerWith({ answerAfter: 2000 });
  await time.run(1900);
  assert.deepEqual(calls, ['GET /flavors']);
  await time.run(3900);
  assert.deepEqual(calls, ['GET /flavors', 'POST /machines']);
});

void test('a request for machines is repeated under the same id until it is answered', async () => {
  const unreadable = ok({});
  const failed: Outcome = { kind: 'answer', status: 500, body: undefined };
  const { time, requests } = autoscalerWith({ answers: [NO_ANSWER, failed, unreadable] });
  await time.run(20_000);
  const ids = requests.map(({ body }) => body.hire);
  assert.deepEqual(ids, ['e7-1', 'e7-1', 'e7-1', 'e7-1']);
});

void test('where an offer is refused, the others are tried, and on-demand ones after a while', async () => {
  const answers = Array.from({ length: 6 }, () => NO_CAPACITY);
  const { time, requests } = autoscalerWith({ answers });
  await time.run(8000);
  const offers = requests.map(({ body }) => [body.hall, body.loaners]);
  const inEachZone = (spot: boolean) => ['a', 'b', 'c'].map((zone) => [zone, spot]);
  assert.deepEqual(offers, [...inEachZone(true), ...inEachZone(false)]);
  assert.equal(new Set(requests.map(({ body }) => body.hire)).size, 6, 'each under its own id');
  assert.ok(requests[2]!.at < 5000 && requests[3]!.at >= 5000);
});

void test('an offer that is refused again and again is asked for after pauses that double', async () => {
  const answers = Array.from({ length: 6 }, () => NO_CAPACITY);
  // A single offer will do.
  const { time, requests } = autoscalerWith({ answers, change: { zone: 'a', allowSpot: false } });
  await time.run(230_000);
  const pauses = requests.map(({ at }, index) => at - (requests[index - 1]?.at ?? 0));
  // Plans are made once a second, and ticks every half of one.
  const expected = [8000, 16_000, 32_000, 60_000, 60_000];
  for (const [index, pause] of expected.entries()) {
    const actual = pauses[index + 1] ?? 0;
    assert.ok(actual >= pause && actual < pause + 2000, `${actual} for ${pause}`);
  }
});

void test('a closed autoscaler makes no further calls', async () => {
  const { autoscaler, time, calls } = autoscalerWith({});
  await time.run(2);
  assert.deepEqual(calls, ['GET /flavors']);
  autoscaler.close();
  // The call in flight is answered, and ticks go on.
  await time.run(5000);
  assert.deepEqual(calls, ['GET /flavors']);

  const next = autoscalerWith({});
  await next.time.run(5);
  // Answered, and the next call is due.
  next.autoscaler.close();
  await next.time.run(5000);
  assert.deepEqual(next.calls, ['GET /flavors']);
});
