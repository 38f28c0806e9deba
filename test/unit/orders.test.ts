import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { parseSettings } from '../../src/config/settings.js';
import { attemptKey, leaseEnd, toReport } from '../../src/fleet/machine.js';
import type { Board } from '../../src/leader/board.js';
import type { TermDeps } from '../../src/leader/deps.js';
import { Orders } from '../../src/leader/orders.js';
import { Job } from '../../src/ledger/job.js';
import { Epoch, JobId, MachineId, Revision, WallMs, taskKey } from '../../src/units/index.js';
import { encodeHeartbeat, type Priority } from '../../src/wire/index.js';
import { emptyFleet } from '../support/fleet.js';
import { spec } from '../support/jobs.js';
import { settingsFile } from '../support/settings.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

const epoch = Epoch(50);
const id = MachineId('vm-1');
const beat = {
  machine: id,
  address: '10.1.0.1:9000',
  machineType: 'small',
  zone: 'a',
  spot: true,
  session: 1,
  sequence: 9,
  fencingToken: 50,
  reclaimNoticeSeconds: null,
  tasks: [],
};

void test('what answers a command moves a lease only as the first word of a new session', async () => {
  const { lease } = parseSettings(settingsFile()).workers;
  type Case = [
    name: string,
    busy: boolean,
    urgency: Priority,
    status: number,
    session: number,
    renewed: boolean,
  ];
  const cases: Case[] = [
    ['carried out: no report was answered', false, 'normal', 200, 1, false],
    ['none is sent while the process is behind', true, 'normal', 0, 1, false],
    ['not even urgent ones', true, 'high', 0, 1, false],
    ['refused in a new session: it lasts from its beginning', false, 'normal', 409, 2, true],
  ];
  for (const [name, busy, urgency, status, session, renewed] of cases) {
    const time = new VirtualTime();
    const clock = new ProcessClock(time, 0, 0);
    const settings = parseSettings(settingsFile());
    const fleet = emptyFleet(lease);
    const m = fleet.meet(id, { type: 'small', zone: 'a', spot: true }, beat.address);
    m.take(toReport(beat), clock.steady());
    m.answered(leaseEnd(clock.steady(), lease));
    const job = new Job(
      JobId('run-000001'),
      spec({ taskCount: 1, priority: urgency }),
      WallMs(0),
      Revision(1),
    );
    job.place([{ index: 0, machine: id }], clock.steady());
    job.committed = job.version;
    const placed = job.placed.get(0);
    assert.ok(placed);
    fleet.assign(id, taskKey(job.id, 0), {
      job: job.id,
      index: 0,
      attempt: placed.attempt,
      size: { cpus: 2, gpus: 0, ramGb: 4 },
      image: 'x',
      placedAt: clock.steady(),
    });
    const deps = {
      settings,
      clock,
      log: pino({ level: 'silent' }),
      authority: () => epoch,
      http: {
        send: () =>
          Promise.resolve({
            kind: 'answer',
            status,
            body: encodeHeartbeat({ ...beat, session, sequence: 12 }),
          }),
      },
    };
    const board = { fleet, ledger: { jobs: new Map([[job.id, job]]) } };
    const orders = new Orders(
      epoch,
      board as unknown as Board,
      deps as unknown as TermDeps,
      () => undefined,
    );
    // The worker's own lease may be over by now, and a new session have begun.
    await time.run(lease);
    const before = m.expires;
    assert.ok(clock.steady() <= before);
    orders.isBusy = busy;
    orders.push(id);
    await time.run(lease + 10);
    assert.equal(m.report?.session, session, name);
    assert.equal(m.report?.sequence, status === 0 ? 9 : 12, name);
    assert.equal(m.expires > before, renewed, name);
    if (renewed) assert.ok(m.expires >= lease * 2, name);
  }
});

void test('an attempt that is to be stopped is not started any more', () => {
  const cases: [name: string, evicted: boolean, inDoubt: boolean, verbs: string[]][] = [
    ['wanted there', false, false, ['launch']],
    ['given up before it was told', true, false, []],
    ['given up, and its start may yet arrive: used up', true, true, ['launch', 'kill']],
  ];
  for (const [name, evicted, inDoubt, verbs] of cases) {
    const clock = new ProcessClock(new VirtualTime(), 0, 0);
    const fleet = emptyFleet(parseSettings(settingsFile()).workers.lease);
    const m = fleet.meet(id, { type: 'small', zone: 'a', spot: true }, beat.address);
    const job = new Job(JobId('run-000001'), spec({ taskCount: 1 }), WallMs(0), Revision(1));
    job.place([{ index: 0, machine: id }], clock.steady());
    job.committed = job.version;
    const placed = job.placed.get(0);
    assert.ok(placed);
    if (evicted) placed.evict = 0;
    const key = taskKey(job.id, 0);
    fleet.assign(id, key, {
      job: job.id,
      index: 0,
      attempt: placed.attempt,
      size: { cpus: 2, gpus: 0, ramGb: 4 },
      image: 'x',
      placedAt: clock.steady(),
    });
    if (inDoubt) m.doubts.add(attemptKey(key, placed.attempt));
    const board = { fleet, ledger: { jobs: new Map([[job.id, job]]) } };
    const deps = { clock } as unknown as TermDeps;
    const orders = new Orders(epoch, board as unknown as Board, deps, () => undefined);
    const told = orders.answer(m, toReport(beat)).map((o) => o.type);
    assert.deepEqual(told, verbs, name);
  }
});
