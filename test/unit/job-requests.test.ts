/**
 * Checks what submissions cost the leader. Work that grows with the cluster must not be done for each of them without
 * a limit, or the leader renews its lease too late and loses it again and again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import type { Ledger } from '../../src/ledger/ledger.js';
import { Job } from '../../src/ledger/job.js';
import type { PlacementIndex } from '../../src/leader/placement-index.js';
import { JobRequests, type JobRequestDependencies } from '../../src/leader/job-requests.js';
import { Scheduler } from '../../src/leader/scheduler.js';
import type { TermDependencies } from '../../src/leader/term-dependencies.js';
import { Epoch, JobId, Revision, SteadyMs, WallMs, ms, sleep } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { jobSpec } from '../support/job-spec.js';

/** The share of its time that a leader may spend on placement, as the design states it. */
const MAX_PLACEMENT_TIME_SHARE = 0.2;
/** Placement may use the share of this time at once. */
const BURST_MS = 2500;
/** How long a placement round takes at a few thousand machines on a fraction of a processor. */
const ROUND_MS = 45;
const SUBMISSION_INTERVAL_MS = 50;
const SUBMISSION_COUNT = 400;

/** The jobs of a ledger. Each placement round looks at all of them once, which takes `ROUND_MS`. */
class CostlyJobs extends Map<JobId, Job> {
  spentMs = 0;

  override values(): ReturnType<Map<JobId, Job>['values']> {
    this.spentMs += ROUND_MS;
    return super.values();
  }
}

void test('a stream of submissions leaves the leader time for its lease, however long a placement round takes', async () => {
  const time = new VirtualTime();
  const jobs = new CostlyJobs();
  const elapsedMs = (): number => time.now + jobs.spentMs;
  const clock = {
    steady: () => SteadyMs(elapsedMs()),
    wall: () => WallMs(elapsedMs()),
    after: (delay: number, run: () => void) => time.after(delay, run),
    nextTurn: (run: () => void) => void time.after(0, run),
  };
  const ledger = {
    jobs,
    insert: (job: Job) => jobs.set(job.id, job),
    admissionWait: () => 0,
    knownFinalState: () => undefined,
    whenCommitted: () => Promise.resolve(true),
  } as unknown as Ledger;
  const placements = { ledger, fleet: { machines: new Map() } } as unknown as PlacementIndex;
  const settings = { objectives: [], workers: { heartbeatInterval: 3000 }, teams: new Map() };
  const commands = { scheduleDirectCommands: () => undefined };
  const deps = { clock, log: pino({ level: 'silent' }), settings } as unknown as TermDependencies;
  const scheduler = new Scheduler(Epoch(7), placements, commands, deps);
  scheduler.isReady = true;
  const jobRecords = { lookUp: () => Promise.resolve({ kind: 'absent' as const }) };
  const requests = new JobRequests({ ledger, placements, commands, scheduler, jobRecords, clock });
  for (let i = 0; i < SUBMISSION_COUNT; i++) {
    const id = `run-${String(i).padStart(6, '0')}`;
    time.after(i * SUBMISSION_INTERVAL_MS, () => void requests.submit(jobSpec({ id })));
  }
  await time.run(SUBMISSION_COUNT * SUBMISSION_INTERVAL_MS);
  assert.equal(jobs.size, SUBMISSION_COUNT);
  const allowedMs = MAX_PLACEMENT_TIME_SHARE * (elapsedMs() + BURST_MS) + ROUND_MS;
  assert.ok(jobs.spentMs > 0 && jobs.spentMs <= allowedMs, `${jobs.spentMs} of ${allowedMs} ms`);
});

/** Job requests of a leader that has no job in memory and looks jobs up in a store that responds as the test says. */
function createRequestsWithStore(lookUp: JobRequestDependencies['jobRecords']['lookUp']) {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const jobs = new Map<JobId, Job>();
  const ledger = { jobs, knownFinalState: () => undefined } as unknown as Ledger;
  const requests = new JobRequests({
    ledger,
    jobRecords: { lookUp },
    clock,
  } as unknown as JobRequestDependencies);
  return { time, clock, jobs, requests };
}

void test('a leader calls a job absent only if no controller can have accepted it while the store was asked', async () => {
  const job = new Job(JobId('run-000001'), jobSpec({}), WallMs(0), Revision(5));
  const uncommitted = new Job(job.id, job.spec, WallMs(0), Revision(0));
  const cases: [name: string, readMs: number, submitted: Job | undefined, kind: string][] = [
    ['read in time', 100, undefined, 'absent'],
    ['read late: another controller may have written it', 400, undefined, 'absentBefore'],
    ['submitted to the leader meanwhile', 100, job, 'live'],
    ['submitted to the leader meanwhile, and not committed', 100, uncommitted, 'unknown'],
  ];
  for (const [name, readMs, submitted, kind] of cases) {
    const scene = createRequestsWithStore(async () => {
      await sleep(scene.clock, ms(readMs));
      return { kind: 'absent' };
    });
    const kinds: string[] = [];
    scene.time.after(0, () => {
      void scene.requests.find(job.id).then((result) => kinds.push(result.kind));
    });
    if (submitted) scene.time.after(readMs / 2, () => scene.jobs.set(job.id, submitted));
    await scene.time.run(1000);
    assert.deepEqual(kinds, [kind], name);
  }
});
