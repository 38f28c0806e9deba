import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { Service } from '../../src/api/service.js';
import { Catalog } from '../../src/cloud/catalog.js';
import type { StoreFront } from '../../src/ledger/front.js';
import { Job } from '../../src/ledger/job.js';
import { spreads } from '../../src/leader/spread.js';
import type { Peer } from '../../src/peer/channel.js';
import type { Election } from '../../src/leader/election.js';
import type { Answer, Term } from '../../src/leader/term.js';
import { parseSettings } from '../../src/config/settings.js';
import { Epoch, JobId, NodeId, Revision, WallMs, seconds } from '../../src/units/index.js';
import { encode, parseSubmission } from '../../src/wire/index.js';
import { spec } from '../support/jobs.js';
import { settingsFile } from '../support/settings.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { flavors } from '../standin/world.js';

const id = JobId('run-000001');

/** A service that leads until `lose` is called, and whose term answers when `answer` is. */
function leading(found: Answer) {
  const settings = parseSettings(settingsFile(0));
  const clock = new ProcessClock(new VirtualTime(), 0, 0);
  let epoch: Epoch | undefined = Epoch(7);
  let answer = (): void => undefined;
  const later = (): Promise<Answer> => new Promise((r) => (answer = () => r(found)));
  const term = {
    epoch,
    isClosed: false,
    isReady: true,
    find: later,
    abort: later,
    submit: later,
    beat: () => ({ baton: 7, orders: [] }),
  };
  const election = { authority: () => epoch, leader: () => NodeId('node-0') };
  const peers = new Map<NodeId, Peer>();
  const catalog = new Catalog();
  catalog.update(flavors);
  const service = new Service(
    settings,
    election as unknown as Election,
    {} as StoreFront,
    catalog,
    peers,
    clock,
    pino({ level: 'silent' }),
    {
      hints: () => undefined,
      ping: () => Buffer.alloc(0),
      alone: () => false,
      spread: () => false,
    },
  );
  service.term = term as unknown as Term;
  return { service, term, peers, lose: () => (epoch = undefined), answer: () => answer() };
}

void test('an answer that rests on authority is given under it to the end', async () => {
  const running = new Job(id, spec({}), WallMs(0), Revision(5));
  const body = encode(spec({}));
  type Case = [name: string, method: string, path: string, found: Answer, kept: number];
  const cases: Case[] = [
    ['a question', 'GET', `/v1/jobs/${id}`, { kind: 'job', job: running }, 200],
    ['a question about no job', 'GET', `/v1/jobs/${id}`, { kind: 'absent' }, 404],
    ['a repeated submission', 'POST', '/v1/jobs', { kind: 'job', job: running }, 200],
    ['a cancellation', 'POST', `/v1/jobs/${id}/abort`, { kind: 'job', job: running }, 200],
  ];
  for (const [name, method, path, found, kept] of cases) {
    for (const lost of [false, true]) {
      const { service, lose, answer } = leading(found);
      const reply = service.user(method, path, body);
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
  const catalog = new Catalog();
  catalog.update(flavors);
  const one = new Catalog();
  one.update(flavors.map((f) => ({ ...f, halls: ['a'] })));
  const ok = spec({});
  const cases: [string, unknown, number][] = [
    ['as it should be', ok, 0],
    [
      'nulls that may be missing',
      { ...ok, builds: undefined, hall: undefined, due_s: undefined },
      0,
    ],
    ['apart in one zone: in turns', spec({ apart: true, hall: 'a', entries: 5 }), 0],
    ['apart and together: in turns', spec({ apart: true, together: true, entries: 5 }), 0],
    ['a gang apart and together', spec({ shape: 'ensemble', apart: true, together: true }), 422],
    ['a gang of one', spec({ shape: 'ensemble', apart: true, together: true, entries: 1 }), 0],
    ['a gang apart in one zone', spec({ shape: 'ensemble', apart: true, hall: 'a' }), 422],
    ['a gang above its limit', spec({ shape: 'ensemble', entries: 5, vcpus: 8 }), 422],
    ['an array above its limit', spec({ entries: 5, vcpus: 8 }), 0],
    ['a task above its limit', spec({ vcpus: 25 }), 422],
    ['a task too large', spec({ ram_gb: 33 }), 422],
    ['gpus that nobody has', spec({ gpus: 1 }), 422],
    ['an unknown team', spec({ desk: 'nobody' }), 422],
    ['no such type', spec({ builds: ['huge'] }), 422],
    ['no type at all', spec({ builds: [] }), 422],
    ['no such zone', spec({ hall: 'z' }), 422],
    ['no tasks', spec({ entries: 0 }), 400],
    ['half a task', spec({ entries: 1.5 }), 400],
    ['too many tasks', spec({ entries: 100_001 }), 400],
    ['no processor', spec({ vcpus: 0 }), 400],
    ['less than none', spec({ ram_gb: -1 }), 400],
    ['no number', spec({ vcpus: NaN }), 400],
    ['without end', spec({ expected_s: Infinity }), 400],
    ['an id of another form', spec({ name_id: 'job-1' }), 400],
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
    const got = !parsed.ok ? 400 : typeof verdict === 'object' ? 422 : 0;
    assert.equal(got, status, name);
  }
  const gang = parseSubmission(encode(spec({ shape: 'ensemble', apart: true })));
  assert.ok(gang.ok && typeof one.judge(gang.value, settings.teams) === 'object');
});

void test('a report gets no 200 before the leader knows which jobs are cancelled', async () => {
  for (const ready of [true, false]) {
    const { service, term } = leading({ kind: 'absent' });
    let became = (): void => undefined;
    Object.assign(term, { isReady: false, rebuilt: new Promise<void>((r) => (became = r)) });
    const beat = { box: 'vm-1', addr: '', build: 'small', hall: 'a', loaners: true, entries: [] };
    const answer = service.beat(encode({ ...beat, shift: 1, tally: 1, baton: 0, recall_s: null }));
    await Promise.resolve();
    term.isReady = ready;
    became();
    assert.equal((await answer).status, ready ? 200 : 503);
  }
});

void test('whether workers report through the other nodes: neither early nor to and fro', () => {
  const cases: [machines: number, cpu: number, before: boolean, spread: boolean][] = [
    [200, 0.2, false, false],
    [300, 0.05, false, true],
    [65, 0.05, true, true],
    [65, 0.05, false, false],
    [50, 0.05, true, false],
  ];
  for (const [machines, cpu, before, spread] of cases) {
    assert.equal(spreads(before, { machines, report: seconds(3), cpu }), spread, `${machines}`);
  }
});

void test('a leader that is too small sends workers to others, and serves those that are back', async () => {
  const { service, term, peers } = leading({ kind: 'absent' });
  Object.assign(term, { spreads: true });
  const body = (box: string) =>
    encode({
      box,
      addr: '',
      build: 's',
      hall: 'a',
      loaners: true,
      shift: 1,
      tally: 1,
      baton: 0,
      entries: [],
    });
  const alone = await service.beat(body('vm-0'));
  assert.equal(alone.status, 200, 'no other node answers');
  peers.set(NodeId('node-1'), { responsive: true, ask: () => Promise.resolve(undefined) });
  assert.deepEqual(await service.beat(body('vm-1')), { status: 421, body: { clerk: 'node-1' } });
  assert.equal((await service.beat(body('vm-1'))).status, 200, 'it can not reach that one');
  assert.equal((await service.beat(body('vm-2'), true)).status, 200, 'carried by another node');
});
