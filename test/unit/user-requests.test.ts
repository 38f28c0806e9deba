import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MachineCatalog } from '../../src/cloud/machine-catalog.js';
import { parseSettings } from '../../src/config/settings.js';
import type { StoredJob } from '../../src/ledger/job-records.js';
import { Job, type FinalState } from '../../src/ledger/job.js';
import type { JobAnswer } from '../../src/leader/term.js';
import { Revision, WallMs, ms, sleep } from '../../src/units/index.js';
import { encode, encodeJobSpec, parseSubmission, type JobSpec } from '../../src/wire/index.js';
import { flavors } from '../standin/world.js';
import { JOB, leadingNode } from '../support/api.js';
import { spec } from '../support/jobs.js';
import { settingsFile } from '../support/settings.js';

void test('an answer that rests on authority is given under it to the end', async () => {
  const running = new Job(JOB, spec({}), WallMs(0), Revision(5));
  const body = encode(encodeJobSpec(spec({})));
  type Case = [name: string, method: string, path: string, found: JobAnswer, kept: number];
  const cases: Case[] = [
    ['a question', 'GET', `/v1/jobs/${JOB}`, { kind: 'job', job: running }, 200],
    ['a question about no job', 'GET', `/v1/jobs/${JOB}`, { kind: 'absent' }, 404],
    ['a repeated submission', 'POST', '/v1/jobs', { kind: 'job', job: running }, 200],
    ['a cancellation', 'POST', `/v1/jobs/${JOB}/abort`, { kind: 'job', job: running }, 200],
  ];
  for (const [name, method, path, found, kept] of cases) {
    for (const lost of [false, true]) {
      const { users, lose, answer } = leadingNode(found);
      const reply = users.handle(method, path, body);
      await Promise.resolve();
      // It stood still here, and another has come to lead.
      if (lost) lose();
      answer();
      const { status } = await reply;
      assert.equal(status, lost ? 503 : kept, name);
    }
  }
});

void test('submissions that can not run, or lack something, are refused by every node alike', () => {
  const settings = parseSettings(settingsFile(0));
  const catalog = new MachineCatalog();
  catalog.update(flavors);
  const one = new MachineCatalog();
  one.update(flavors.map((f) => ({ ...f, zones: ['a'] })));
  const submission = (change: Partial<JobSpec>) => encodeJobSpec(spec(change));
  const ok = submission({});
  const cases: [string, unknown, number][] = [
    ['as it should be', ok, 0],
    [
      'nulls that may be missing',
      { ...ok, builds: undefined, hall: undefined, due_s: undefined },
      0,
    ],
    ['apart in one zone: in turns', submission({ spreadZones: true, zone: 'a', taskCount: 5 }), 0],
    [
      'apart and together: in turns',
      submission({ spreadZones: true, singleZone: true, taskCount: 5 }),
      0,
    ],
    [
      'a gang apart and together',
      submission({ kind: 'ensemble', spreadZones: true, singleZone: true }),
      422,
    ],
    [
      'a gang of one',
      submission({ kind: 'ensemble', spreadZones: true, singleZone: true, taskCount: 1 }),
      0,
    ],
    [
      'a gang apart in one zone',
      submission({ kind: 'ensemble', spreadZones: true, zone: 'a' }),
      422,
    ],
    ['a gang above its limit', submission({ kind: 'ensemble', taskCount: 5, cpus: 8 }), 422],
    ['an array above its limit', submission({ taskCount: 5, cpus: 8 }), 0],
    ['a task above its limit', submission({ cpus: 25 }), 422],
    ['a task too large', submission({ memoryGb: 33 }), 422],
    ['gpus that nobody has', submission({ gpus: 1 }), 422],
    ['an unknown team', submission({ team: 'nobody' }), 422],
    ['no such type', submission({ machineTypes: ['huge'] }), 422],
    ['no type at all', submission({ machineTypes: [] }), 422],
    ['no such zone', submission({ zone: 'z' }), 422],
    ['no tasks', submission({ taskCount: 0 }), 400],
    ['half a task', submission({ taskCount: 1.5 }), 400],
    ['too many tasks', submission({ taskCount: 100_001 }), 400],
    ['no processor', submission({ cpus: 0 }), 400],
    ['less than none', submission({ memoryGb: -1 }), 400],
    ['no number', submission({ cpus: NaN }), 400],
    ['without end', submission({ expectedRuntimeSeconds: Infinity }), 400],
    ['an id of another form', submission({ id: 'job-1' }), 400],
    ['a number as a text', { ...ok, vcpus: '2' }, 400],
    ['null where none may be', { ...ok, loaners: null }, 400],
    ...Object.keys(ok)
      .filter((k) => !['builds', 'hall', 'due_s'].includes(k))
      .map((k): [string, unknown, number] => [`no ${k}`, { ...ok, [k]: undefined }, 400]),
    ['not a map', [ok], 400],
  ];
  for (const [name, body, status] of cases) {
    const parsed = parseSubmission(encode(body));
    const verdict = parsed.ok ? catalog.judge(parsed.value, settings.teams) : undefined;
    const got = !parsed.ok ? 400 : verdict?.kind === 'impossible' ? 422 : 0;
    assert.equal(got, status, name);
  }
  const gang = parseSubmission(encode(submission({ kind: 'ensemble', spreadZones: true })));
  assert.ok(gang.ok && one.judge(gang.value, settings.teams).kind === 'impossible');
});

void test('a follower that reaches no leader: what the store said too long ago is not told', async () => {
  const job = new Job(JOB, spec({}), WallMs(0), Revision(5));
  const final: FinalState = { status: 'done', taskCount: 4, done: 4, team: 'vision', reason: '' };
  const cases: [name: string, held: StoredJob, took: number, status: number][] = [
    ['a live job, at once', { kind: 'live', job }, 100, 200],
    ['a live job, late: it may be cancelled by now', { kind: 'live', job }, 400, 503],
    ['no job, at once', { kind: 'absent' }, 100, 404],
    ['no job, late: it may be accepted by now', { kind: 'absent' }, 400, 503],
    ['one that is over, late: that does not change', { kind: 'final', final }, 400, 200],
  ];
  for (const [name, held, took, status] of cases) {
    const node = leadingNode({ kind: 'absent' });
    node.lose();
    node.front.lookup = async () => {
      await sleep(node.clock, ms(took));
      return held;
    };
    let got = 0;
    void node.users.handle('GET', `/v1/jobs/${JOB}`, Buffer.alloc(0)).then((r) => (got = r.status));
    await new Promise((resolve) => setImmediate(resolve));
    await node.time.run(1000);
    assert.equal(got, status, name);
  }
});
