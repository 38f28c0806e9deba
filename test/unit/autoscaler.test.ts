/**
 * Checks the cloud calls of the autoscaler: their order, retries, backoff and end. A retry under a new request id
 * after a lost response would rent machines twice, refused offers that are requested without backoff would use up the
 * cloud's request rate, and a call after the end of the term would be made without authority.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { Autoscaler } from '../../src/capacity/autoscaler.js';
import { CloudClient } from '../../src/cloud/client.js';
import { MachineCatalog } from '../../src/cloud/machine-catalog.js';
import { defaultOperatorSettings } from '../../src/config/operator-settings.js';
import { parseSettings } from '../../src/config/settings.js';
import { Job } from '../../src/ledger/job.js';
import type { QueueEntry } from '../../src/ledger/placement-order.js';
import type { HttpOutcome, HttpRequest } from '../../src/net/http.js';
import { Endpoint, Epoch, JobId, Revision, SteadyMs, ms } from '../../src/units/index.js';
import { encodeMachineTypes, type JobSpec } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { machineTypes } from '../standin/machine-types.js';
import { emptyFleet } from '../support/fleet.js';
import { jobSpec } from '../support/job-spec.js';
import { settingsFile } from '../support/settings-file.js';

/** A scale-out request as the cloud receives it. */
interface ScaleOutBody {
  readonly hire: string;
  readonly hall: string;
  readonly loaners: boolean;
  readonly how_many: number;
}

const okResponse = (body: unknown): HttpOutcome => ({ kind: 'response', status: 200, body });
const NO_CAPACITY: HttpOutcome = { kind: 'response', status: 503, body: { error: 'no capacity' } };
const NO_RESPONSE: HttpOutcome = { kind: 'unknown', reason: 'no response in time' };

/**
 * Creates an autoscaler that is ticked every 500 ms, with one queued job of 8 CPUs, for which one machine is enough.
 * The first scale-out requests get `responses` in turn, later ones get machines; all take `latencyMs`.
 */
function createAutoscaler({
  responses = [],
  latencyMs = 5,
  specChange = {},
}: {
  responses?: HttpOutcome[];
  latencyMs?: number;
  specChange?: Partial<JobSpec>;
}) {
  const settings = parseSettings(settingsFile(0));
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const calls: string[] = [];
  const requests: { at: number; body: ScaleOutBody }[] = [];
  const respond = (request: HttpRequest): HttpOutcome => {
    if (request.path === '/flavors') return okResponse(encodeMachineTypes(machineTypes));
    if (request.path !== '/machines') return okResponse({ boxes: [], has_next: false });
    const body = request.body as ScaleOutBody;
    requests.push({ at: time.now, body });
    return responses.shift() ?? okResponse({ boxes: [`m-${requests.length}`] });
  };
  const http = {
    send: (request: HttpRequest): Promise<HttpOutcome> => {
      calls.push(`${request.method} ${request.path}`);
      const outcome = respond(request);
      return new Promise((resolve) => time.after(latencyMs, () => resolve(outcome)));
    },
  };
  const fleet = emptyFleet(settings.workers.lease);
  const job = new Job(JobId('run-000001'), jobSpec(specChange), clock.wall(), Revision(1));
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
      operator: defaultOperatorSettings,
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

void test('the autoscaler reads the machine types, then rents machines, then lists them', async () => {
  const { time, calls, requests, fleet } = createAutoscaler({});
  await time.run(3000);
  assert.deepEqual(calls, ['GET /flavors', 'POST /machines', 'GET /machines?limit=500']);
  const { body } = requests[0]!;
  assert.deepEqual([body.hire, body.hall, body.loaners, body.how_many], ['e7-1', 'a', true, 1]);
  assert.deepEqual([...fleet.machines.keys()], ['m-1']);
});

void test('one cloud call is in flight at a time', async () => {
  const { time, calls } = createAutoscaler({ latencyMs: 2000 });
  await time.run(1900);
  assert.deepEqual(calls, ['GET /flavors']);
  await time.run(3900);
  assert.deepEqual(calls, ['GET /flavors', 'POST /machines']);
});

void test('a scale-out request is retried under the same id until it gets a usable response', async () => {
  const unreadableResponse = okResponse({});
  const failedResponse: HttpOutcome = { kind: 'response', status: 500, body: undefined };
  const { time, requests } = createAutoscaler({
    responses: [NO_RESPONSE, failedResponse, unreadableResponse],
  });
  await time.run(20_000);
  const ids = requests.map(({ body }) => body.hire);
  assert.deepEqual(ids, ['e7-1', 'e7-1', 'e7-1', 'e7-1']);
});

void test('when an offer is refused, other zones are tried, and on-demand machines after a while', async () => {
  const responses = Array.from({ length: 6 }, () => NO_CAPACITY);
  const { time, requests } = createAutoscaler({ responses });
  await time.run(8000);
  const offers = requests.map(({ body }) => [body.hall, body.loaners]);
  const inEachZone = (spot: boolean) => ['a', 'b', 'c'].map((zone) => [zone, spot]);
  assert.deepEqual(offers, [...inEachZone(true), ...inEachZone(false)]);
  assert.equal(
    new Set(requests.map(({ body }) => body.hire)).size,
    6,
    'each request has its own id',
  );
  assert.ok(requests[2]!.at < 5000 && requests[3]!.at >= 5000);
});

void test('an offer that is refused repeatedly is requested again with exponential backoff', async () => {
  const responses = Array.from({ length: 6 }, () => NO_CAPACITY);
  // Only one offer suits the job.
  const { time, requests } = createAutoscaler({
    responses,
    specChange: { zone: 'a', allowSpot: false },
  });
  await time.run(230_000);
  const waits = requests.map(({ at }, index) => at - (requests[index - 1]?.at ?? 0));
  // Each wait may be up to 2 s longer, since a plan is made once per second, and a tick takes place every 500 ms.
  const expected = [8000, 16_000, 32_000, 60_000, 60_000];
  for (const [index, wait] of expected.entries()) {
    const actual = waits[index + 1] ?? 0;
    assert.ok(actual >= wait && actual < wait + 2000, `${actual} for ${wait}`);
  }
});

void test('a closed autoscaler makes no further calls', async () => {
  const { autoscaler, time, calls } = createAutoscaler({});
  await time.run(2);
  assert.deepEqual(calls, ['GET /flavors']);
  autoscaler.close();
  // The call in flight gets its response, and ticks continue.
  await time.run(5000);
  assert.deepEqual(calls, ['GET /flavors']);

  const second = createAutoscaler({});
  await second.time.run(5);
  // The first call has got its response, and the next one is due.
  second.autoscaler.close();
  await second.time.run(5000);
  assert.deepEqual(second.calls, ['GET /flavors']);
});
