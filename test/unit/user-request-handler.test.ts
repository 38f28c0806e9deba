/**
 * Checks the responses to users, and which submissions are refused. A controller whose authority ended while it
 * handled a request must not respond with a state that a new leader may have changed; an accepted job must be in the
 * store; and all controllers must refuse the same submissions.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ApiResponse } from '../../src/api/api-response.js';
import { MachineCatalog } from '../../src/cloud/machine-catalog.js';
import { parseSettings } from '../../src/config/settings.js';
import type { StoredJob } from '../../src/ledger/job-records.js';
import { Job, type FinalState } from '../../src/ledger/job.js';
import { JobPhase } from '../../src/ledger/job-phase.js';
import {
  JobRequests,
  type JobLookupResult,
  type JobRequestDependencies,
} from '../../src/leader/job-requests.js';
import type { Reachability } from '../../src/peer/reachability.js';
import { ControllerId, Revision, SteadyMs, WallMs, ms, sleep } from '../../src/units/index.js';
import { MICROTASKS_PER_REQUEST } from '../../src/units/turn-budget.js';
import { encode, encodeJobSpec, parseSubmission, type JobSpec } from '../../src/wire/index.js';
import { machineTypes } from '../standin/machine-types.js';
import { JOB_ID, createLeaderRequestHandlers } from '../support/leader-request-handlers.js';
import { jobSpec } from '../support/job-spec.js';
import { settingsFile } from '../support/settings-file.js';

const POLL = { type: 'readJob', job: JOB_ID } as const;
/** What is left to do once the response is known: to encode it and pass it on. */
const RESPONSE_MICROTASKS = 3;

void test('a response that depends on authority is sent only if authority lasts until then', async () => {
  const running = new Job(JOB_ID, jobSpec({}), WallMs(0), Revision(5));
  const body = encode(encodeJobSpec(jobSpec({})));
  type Case = [
    name: string,
    method: string,
    path: string,
    found: JobLookupResult,
    expected: number,
  ];
  const cases: Case[] = [
    ['a query of a job', 'GET', `/v1/jobs/${JOB_ID}`, { kind: 'live', job: running }, 200],
    ['a query of an unknown job', 'GET', `/v1/jobs/${JOB_ID}`, { kind: 'absent' }, 404],
    ['a late lookup', 'GET', `/v1/jobs/${JOB_ID}`, { kind: 'absentBefore' }, 504],
    ['a repeated submission', 'POST', '/v1/jobs', { kind: 'live', job: running }, 200],
    ['a cancellation', 'POST', `/v1/jobs/${JOB_ID}/abort`, { kind: 'live', job: running }, 200],
  ];
  for (const [name, method, path, found, expected] of cases) {
    for (const losesAuthority of [false, true]) {
      const { userRequestHandler, loseAuthority, resolveLookup } =
        createLeaderRequestHandlers(found);
      const response = userRequestHandler.handle(method, path, body);
      await Promise.resolve();
      // The process was suspended here, and another controller has become leader.
      if (losesAuthority) loseAuthority();
      resolveLookup();
      const { status } = await response;
      assert.equal(status, losesAuthority ? 503 : expected, name);
    }
  }
});

void test('submissions that can never run or lack a field are refused by every controller alike', () => {
  const settings = parseSettings(settingsFile(0));
  const catalog = new MachineCatalog();
  catalog.update(machineTypes);
  const singleZoneCatalog = new MachineCatalog();
  singleZoneCatalog.update(machineTypes.map((type) => ({ ...type, zones: ['a'] })));
  const submission = (change: Partial<JobSpec>) => encodeJobSpec(jobSpec(change));
  const valid = submission({});
  const cases: [string, unknown, number][] = [
    ['valid', valid, 0],
    [
      'optional fields that are missing',
      { ...valid, builds: undefined, hall: undefined, due_s: undefined },
      0,
    ],
    [
      'an array job spread over zones but bound to one zone: its tasks run in several batches',
      submission({ spreadZones: true, zone: 'a', taskCount: 5 }),
      0,
    ],
    [
      'an array job spread over zones and in a single zone: its tasks run in several batches',
      submission({ spreadZones: true, singleZone: true, taskCount: 5 }),
      0,
    ],
    [
      'a gang spread over zones and in a single zone',
      submission({ kind: 'ensemble', spreadZones: true, singleZone: true }),
      422,
    ],
    [
      'a gang of one task spread over zones and in a single zone',
      submission({ kind: 'ensemble', spreadZones: true, singleZone: true, taskCount: 1 }),
      0,
    ],
    [
      'a gang spread over zones but bound to one zone',
      submission({ kind: 'ensemble', spreadZones: true, zone: 'a' }),
      422,
    ],
    [
      'a gang above the quota of its team',
      submission({ kind: 'ensemble', taskCount: 5, cpus: 8 }),
      422,
    ],
    ['an array job above the quota of its team', submission({ taskCount: 5, cpus: 8 }), 0],
    ['a task above the quota of its team', submission({ cpus: 25 }), 422],
    ['a task too large for any machine type', submission({ memoryGb: 33 }), 422],
    ['more GPUs than any machine type has', submission({ gpus: 1 }), 422],
    ['an unknown team', submission({ team: 'nobody' }), 422],
    ['an unknown machine type', submission({ machineTypes: ['huge'] }), 422],
    ['an empty list of machine types', submission({ machineTypes: [] }), 422],
    ['an unknown zone', submission({ zone: 'z' }), 422],
    ['no tasks', submission({ taskCount: 0 }), 400],
    ['a fractional number of tasks', submission({ taskCount: 1.5 }), 400],
    ['too many tasks', submission({ taskCount: 100_001 }), 400],
    ['no CPU', submission({ cpus: 0 }), 400],
    ['negative memory', submission({ memoryGb: -1 }), 400],
    ['a number of CPUs that is NaN', submission({ cpus: NaN }), 400],
    ['an infinite run time', submission({ expectedRuntimeSeconds: Infinity }), 400],
    ['an id of the wrong format', submission({ id: 'job-1' }), 400],
    ['a number as a string', { ...valid, vcpus: '2' }, 400],
    ['null in a required field', { ...valid, loaners: null }, 400],
    ...Object.keys(valid)
      .filter((field) => !['builds', 'hall', 'due_s'].includes(field))
      .map((field): [string, unknown, number] => [
        `no ${field}`,
        { ...valid, [field]: undefined },
        400,
      ]),
    ['a list instead of a map', [valid], 400],
  ];
  for (const [name, body, status] of cases) {
    const parsed = parseSubmission(encode(body));
    const feasibility = parsed.ok
      ? catalog.checkFeasibility(parsed.value, settings.teams)
      : undefined;
    const refusalStatus = !parsed.ok ? 400 : feasibility?.kind === 'infeasible' ? 422 : 0;
    assert.equal(refusalStatus, status, name);
  }
  const gang = parseSubmission(encode(submission({ kind: 'ensemble', spreadZones: true })));
  assert.ok(
    gang.ok && singleZoneCatalog.checkFeasibility(gang.value, settings.teams).kind === 'infeasible',
  );
});

void test('a follower without a leader responds with a job that it read late from the store only if its state is final', async () => {
  const job = new Job(JOB_ID, jobSpec({}), WallMs(0), Revision(5));
  const final: FinalState = {
    status: 'done',
    taskCount: 4,
    doneCount: 4,
    team: 'vision',
    reason: '',
  };
  const cases: [name: string, stored: StoredJob, readMs: number, status: number][] = [
    ['a live job, read in time', { kind: 'live', job }, 100, 200],
    ['a live job, read late: it may have been cancelled since', { kind: 'live', job }, 400, 503],
    ['no job, read in time', { kind: 'absent' }, 100, 404],
    ['no job, read late: it may have been accepted since', { kind: 'absent' }, 400, 503],
    [
      'a finished job, read late: its state is final',
      { kind: 'final', final, storedBy: SteadyMs(-10_000) },
      400,
      200,
    ],
  ];
  for (const [name, stored, readMs, status] of cases) {
    const follower = createLeaderRequestHandlers({ kind: 'absent' });
    follower.loseAuthority();
    follower.jobRecords.lookUp = async () => {
      await sleep(follower.clock, ms(readMs));
      return stored;
    };
    let responseStatus = 0;
    void follower.userRequestHandler
      .handle('GET', `/v1/jobs/${JOB_ID}`, Buffer.alloc(0))
      .then((response) => (responseStatus = response.status));
    await new Promise((resolve) => setImmediate(resolve));
    await follower.time.run(1000);
    assert.equal(responseStatus, status, name);
  }
});

void test('a submission that the leader does not handle is written by the follower itself if no record of the job exists', async () => {
  const job = new Job(JOB_ID, jobSpec({}), WallMs(0), Revision(5));
  const live: StoredJob = { kind: 'live', job };
  interface Case {
    readonly name: string;
    /** The status of the leader's response; undefined if it does not respond. */
    readonly leaderStatus?: number;
    readonly creationWaitMs?: number;
    readonly creationResult?: 'created' | 'exists' | 'unknown';
    readonly writeMs?: number;
    readonly stored?: StoredJob;
    readonly status: number;
    readonly retryAfter?: number;
  }
  const cases: Case[] = [
    { name: 'the leader created it', leaderStatus: 201, status: 201 },
    { name: 'the leader refuses it for now', leaderStatus: 429, status: 429 },
    { name: 'the leader is not ready', leaderStatus: 503, creationResult: 'created', status: 201 },
    { name: 'written in time', creationResult: 'created', status: 201 },
    { name: 'written late', creationResult: 'created', writeMs: 400, stored: live, status: 200 },
    {
      name: 'written late, and then unreadable',
      creationResult: 'created',
      writeMs: 400,
      stored: { kind: 'unknown' },
      status: 503,
    },
    { name: 'a repeated submission', creationResult: 'exists', stored: live, status: 200 },
    {
      name: 'an existing record that is gone when it is read',
      creationResult: 'exists',
      stored: { kind: 'absent' },
      status: 503,
    },
    {
      name: 'the outcome of the write is unknown',
      creationResult: 'unknown',
      status: 503,
      retryAfter: 1,
    },
    { name: 'too many writes wait', creationWaitMs: 1500, status: 429, retryAfter: 2 },
  ];
  for (const {
    name,
    leaderStatus,
    creationWaitMs = 0,
    creationResult,
    writeMs = 0,
    stored,
    status,
    retryAfter,
  } of cases) {
    const follower = createLeaderRequestHandlers({ kind: 'absent' });
    follower.loseAuthority();
    const body = encode({});
    follower.peers.set(ControllerId('node-0'), {
      isResponsive: true,
      sendRequest: () =>
        Promise.resolve(
          leaderStatus === undefined
            ? undefined
            : { type: 'userResponse', status: leaderStatus, retryAfter: 0, body },
        ),
    });
    let creationCount = 0;
    follower.jobRecords.creationWait = () => ms(creationWaitMs);
    follower.jobRecords.create = async () => {
      creationCount++;
      await sleep(follower.clock, ms(writeMs));
      return creationResult ?? 'unknown';
    };
    follower.jobRecords.lookUp = () => Promise.resolve(stored ?? { kind: 'unknown' });
    const responses: ApiResponse[] = [];
    void follower.userRequestHandler
      .handle('POST', '/v1/jobs', encode(encodeJobSpec(jobSpec({}))))
      .then((response) => responses.push(response));
    await new Promise((resolve) => setImmediate(resolve));
    await follower.time.run(1000);
    const [response] = responses;
    assert.equal(response?.status, status, name);
    if (retryAfter !== undefined) assert.equal(response.retryAfter, retryAfter, name);
    assert.equal(creationCount, creationResult === undefined ? 0 : 1, name);
  }
});

void test('a refused user reconnects if this controller may be the only one that the store refuses', async () => {
  const cases: [Reachability, boolean][] = [
    ['connected', false],
    ['storeOutage', false],
    ['presumedOutage', true],
    ['isolated', true],
  ];
  for (const [reachability, shouldCloseConnection] of cases) {
    const follower = createLeaderRequestHandlers({ kind: 'absent' });
    follower.loseAuthority();
    follower.setReachability(reachability);
    follower.jobRecords.lookUp = () => Promise.resolve({ kind: 'unknown' });
    const response = await follower.userRequestHandler.handle(
      'GET',
      `/v1/jobs/${JOB_ID}`,
      Buffer.alloc(0),
    );
    assert.equal(response.status, 503, reachability);
    assert.equal(response.shouldCloseConnection ?? false, shouldCloseConnection, reachability);
  }
});

void test('a poll that the leader answers from memory is finished while its turn of the event loop is counted', async () => {
  const running = new Job(JOB_ID, jobSpec({}), WallMs(0), Revision(5));
  const { clock, term, userRequestHandler } = createLeaderRequestHandlers({ kind: 'absent' });
  const ledger = { jobs: new Map([[JOB_ID, running]]) };
  const jobRequests = new JobRequests({ ledger, clock } as unknown as JobRequestDependencies);
  Object.assign(term, {
    findJob: () => jobRequests.find(JOB_ID),
    isCurrentPhase: () => jobRequests.isCurrent(JOB_ID, JobPhase.accepted),
  });
  const cases: [string, () => Promise<ApiResponse>][] = [
    ['relayed', () => userRequestHandler.handleRelayed(POLL, clock.steady())],
    ['direct', () => userRequestHandler.handle('GET', `/v1/jobs/${JOB_ID}`, Buffer.alloc(0))],
  ];
  for (const [name, poll] of cases) {
    let status = 0;
    void poll().then((response) => (status = response.status));
    for (let i = 0; i < MICROTASKS_PER_REQUEST - RESPONSE_MICROTASKS; i++) await Promise.resolve();
    assert.equal(status, 200, name);
  }
});
