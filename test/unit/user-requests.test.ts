/** What users are answered, and which submissions are refused. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ApiResponse } from '../../src/api/api-response.js';
import { MachineCatalog } from '../../src/cloud/machine-catalog.js';
import { parseSettings } from '../../src/config/settings.js';
import type { StoredJob } from '../../src/ledger/job-records.js';
import { Job, type FinalState } from '../../src/ledger/job.js';
import type { JobLookupResult } from '../../src/leader/job-requests.js';
import { NodeId, Revision, WallMs, ms, sleep } from '../../src/units/index.js';
import { encode, encodeJobSpec, parseSubmission, type JobSpec } from '../../src/wire/index.js';
import { machineTypes } from '../standin/machine-types.js';
import { JOB, leadingNode } from '../support/api.js';
import { spec } from '../support/jobs.js';
import { settingsFile } from '../support/settings.js';

void test('an answer that rests on authority is given under it to the end', async () => {
  const running = new Job(JOB, spec({}), WallMs(0), Revision(5));
  const body = encode(encodeJobSpec(spec({})));
  type Case = [
    name: string,
    method: string,
    path: string,
    found: JobLookupResult,
    expected: number,
  ];
  const cases: Case[] = [
    ['a question', 'GET', `/v1/jobs/${JOB}`, { kind: 'live', job: running }, 200],
    ['a question about no job', 'GET', `/v1/jobs/${JOB}`, { kind: 'absent' }, 404],
    ['a repeated submission', 'POST', '/v1/jobs', { kind: 'live', job: running }, 200],
    ['a cancellation', 'POST', `/v1/jobs/${JOB}/abort`, { kind: 'live', job: running }, 200],
  ];
  for (const [name, method, path, found, expected] of cases) {
    for (const lost of [false, true]) {
      const { userRequests, loseAuthority, answer } = leadingNode(found);
      const reply = userRequests.handle(method, path, body);
      await Promise.resolve();
      // The process stood still here, and another node has come to lead.
      if (lost) loseAuthority();
      answer();
      const { status } = await reply;
      assert.equal(status, lost ? 503 : expected, name);
    }
  }
});

void test('submissions that can never run, or lack a field, are refused by every node alike', () => {
  const settings = parseSettings(settingsFile(0));
  const catalog = new MachineCatalog();
  catalog.update(machineTypes);
  const singleZoneCatalog = new MachineCatalog();
  singleZoneCatalog.update(machineTypes.map((type) => ({ ...type, zones: ['a'] })));
  const submission = (change: Partial<JobSpec>) => encodeJobSpec(spec(change));
  const valid = submission({});
  const cases: [string, unknown, number][] = [
    ['valid', valid, 0],
    [
      'nulls that may be missing',
      { ...valid, builds: undefined, hall: undefined, due_s: undefined },
      0,
    ],
    [
      'an array spread over zones in one zone: one part after the other',
      submission({ spreadZones: true, zone: 'a', taskCount: 5 }),
      0,
    ],
    [
      'an array spread over zones and in a single one: one part after the other',
      submission({ spreadZones: true, singleZone: true, taskCount: 5 }),
      0,
    ],
    [
      'a gang spread over zones and in a single one',
      submission({ kind: 'ensemble', spreadZones: true, singleZone: true }),
      422,
    ],
    [
      'a gang of one',
      submission({ kind: 'ensemble', spreadZones: true, singleZone: true, taskCount: 1 }),
      0,
    ],
    [
      'a gang spread over zones in one zone',
      submission({ kind: 'ensemble', spreadZones: true, zone: 'a' }),
      422,
    ],
    ['a gang above its limit', submission({ kind: 'ensemble', taskCount: 5, cpus: 8 }), 422],
    ['an array above its limit', submission({ taskCount: 5, cpus: 8 }), 0],
    ['a task above its limit', submission({ cpus: 25 }), 422],
    ['a task too large', submission({ memoryGb: 33 }), 422],
    ['GPUs that no type has', submission({ gpus: 1 }), 422],
    ['an unknown team', submission({ team: 'nobody' }), 422],
    ['an unknown machine type', submission({ machineTypes: ['huge'] }), 422],
    ['an empty list of machine types', submission({ machineTypes: [] }), 422],
    ['an unknown zone', submission({ zone: 'z' }), 422],
    ['no tasks', submission({ taskCount: 0 }), 400],
    ['half a task', submission({ taskCount: 1.5 }), 400],
    ['too many tasks', submission({ taskCount: 100_001 }), 400],
    ['no processor', submission({ cpus: 0 }), 400],
    ['negative memory', submission({ memoryGb: -1 }), 400],
    ['not a number', submission({ cpus: NaN }), 400],
    ['an infinite run time', submission({ expectedRuntimeSeconds: Infinity }), 400],
    ['an id of another form', submission({ id: 'job-1' }), 400],
    ['a number as a text', { ...valid, vcpus: '2' }, 400],
    ['null where none may be', { ...valid, loaners: null }, 400],
    ...Object.keys(valid)
      .filter((field) => !['builds', 'hall', 'due_s'].includes(field))
      .map((field): [string, unknown, number] => [
        `no ${field}`,
        { ...valid, [field]: undefined },
        400,
      ]),
    ['not a map', [valid], 400],
  ];
  for (const [name, body, status] of cases) {
    const parsed = parseSubmission(encode(body));
    const verdict = parsed.ok ? catalog.checkFeasibility(parsed.value, settings.teams) : undefined;
    const refusal = !parsed.ok ? 400 : verdict?.kind === 'infeasible' ? 422 : 0;
    assert.equal(refusal, status, name);
  }
  const gang = parseSubmission(encode(submission({ kind: 'ensemble', spreadZones: true })));
  assert.ok(
    gang.ok && singleZoneCatalog.checkFeasibility(gang.value, settings.teams).kind === 'infeasible',
  );
});

void test('a follower without a leader: a late answer of the store is given only if it is final', async () => {
  const job = new Job(JOB, spec({}), WallMs(0), Revision(5));
  const final: FinalState = {
    status: 'done',
    taskCount: 4,
    doneCount: 4,
    team: 'vision',
    reason: '',
  };
  const cases: [name: string, stored: StoredJob, took: number, status: number][] = [
    ['a live job, at once', { kind: 'live', job }, 100, 200],
    ['a live job, late: it may be cancelled by now', { kind: 'live', job }, 400, 503],
    ['no job, at once', { kind: 'absent' }, 100, 404],
    ['no job, late: it may be accepted by now', { kind: 'absent' }, 400, 503],
    ['a job that is over, late: that does not change', { kind: 'final', final }, 400, 200],
  ];
  for (const [name, stored, took, status] of cases) {
    const node = leadingNode({ kind: 'absent' });
    node.loseAuthority();
    node.jobRecords.lookUp = async () => {
      await sleep(node.clock, ms(took));
      return stored;
    };
    let repliedStatus = 0;
    void node.userRequests
      .handle('GET', `/v1/jobs/${JOB}`, Buffer.alloc(0))
      .then((reply) => (repliedStatus = reply.status));
    await new Promise((resolve) => setImmediate(resolve));
    await node.time.run(1000);
    assert.equal(repliedStatus, status, name);
  }
});

void test('a submission that no leader answers is written by the node itself, if no record has the job', async () => {
  const job = new Job(JOB, spec({}), WallMs(0), Revision(5));
  const live: StoredJob = { kind: 'live', job };
  interface Case {
    readonly name: string;
    /** The status of the leader's response; none: it gives no response. */
    readonly leader?: number;
    readonly wait?: number;
    readonly create?: 'created' | 'exists' | 'unknown';
    readonly took?: number;
    readonly stored?: StoredJob;
    readonly status: number;
    readonly retryAfter?: number;
  }
  const cases: Case[] = [
    { name: 'the leader created it', leader: 201, status: 201 },
    { name: 'the leader refuses it for a while', leader: 429, status: 429 },
    { name: 'the leader is not ready', leader: 503, create: 'created', status: 201 },
    { name: 'written at once', create: 'created', status: 201 },
    { name: 'written late', create: 'created', took: 400, stored: live, status: 200 },
    {
      name: 'written late, and not to be read',
      create: 'created',
      took: 400,
      stored: { kind: 'unknown' },
      status: 503,
    },
    { name: 'a repeat', create: 'exists', stored: live, status: 200 },
    {
      name: 'a record that is gone when it is read',
      create: 'exists',
      stored: { kind: 'absent' },
      status: 503,
    },
    { name: 'an unknown outcome', create: 'unknown', status: 503, retryAfter: 1 },
    { name: 'too many writes wait', wait: 1500, status: 429, retryAfter: 2 },
  ];
  for (const { name, leader, wait = 0, create, took = 0, stored, status, retryAfter } of cases) {
    const node = leadingNode({ kind: 'absent' });
    node.loseAuthority();
    const body = encode({});
    node.peers.set(NodeId('node-0'), {
      isResponsive: true,
      sendRequest: () =>
        Promise.resolve(
          leader === undefined
            ? undefined
            : { type: 'userResponse', status: leader, retryAfter: 0, body },
        ),
    });
    let creations = 0;
    node.jobRecords.creationWait = () => ms(wait);
    node.jobRecords.create = async () => {
      creations++;
      await sleep(node.clock, ms(took));
      return create ?? 'unknown';
    };
    node.jobRecords.lookUp = () => Promise.resolve(stored ?? { kind: 'unknown' });
    const replies: ApiResponse[] = [];
    void node.userRequests
      .handle('POST', '/v1/jobs', encode(encodeJobSpec(spec({}))))
      .then((reply) => replies.push(reply));
    await new Promise((resolve) => setImmediate(resolve));
    await node.time.run(1000);
    const [reply] = replies;
    assert.equal(reply?.status, status, name);
    if (retryAfter !== undefined) assert.equal(reply.retryAfter, retryAfter, name);
    assert.equal(creations, create === undefined ? 0 : 1, name);
  }
});
