import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { parseSettings } from '../../src/config/settings.js';
import { attemptKey, workerLeaseEnd, toWorkerStatus } from '../../src/fleet/machine.js';
import type { PlacementIndex } from '../../src/leader/placement-index.js';
import type { TermDependencies } from '../../src/leader/dependencies.js';
import { CommandSender } from '../../src/leader/command-sender.js';
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
    const m = fleet.observe(id, { machineType: 'small', zone: 'a', spot: true }, beat.address);
    m.recordStatus(toWorkerStatus(beat), clock.steady());
    m.extendLease(workerLeaseEnd(clock.steady(), lease));
    const job = new Job(
      JobId('run-000001'),
      spec({ taskCount: 1, priority: urgency }),
      WallMs(0),
      Revision(1),
    );
    job.placeTasks([{ index: 0, machine: id }], clock.steady());
    job.committedVersion = job.version;
    const placed = job.placements.get(0);
    assert.ok(placed);
    fleet.assign(id, taskKey(job.id, 0), {
      job: job.id,
      index: 0,
      attempt: placed.attempt,
      resources: { cpus: 2, gpus: 0, memoryGb: 4 },
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
    const placements = { fleet, ledger: { jobs: new Map([[job.id, job]]) } };
    const sender = new CommandSender(
      epoch,
      placements as unknown as PlacementIndex,
      deps as unknown as TermDependencies,
      () => undefined,
    );
    // The worker's own lease may be over by now, and a new session have begun.
    await time.run(lease);
    const before = m.leaseExpiresAt;
    assert.ok(clock.steady() <= before);
    sender.isBusy = busy;
    sender.schedulePush(id);
    await time.run(lease + 10);
    assert.equal(m.status?.session, session, name);
    assert.equal(m.status?.sequence, status === 0 ? 9 : 12, name);
    assert.equal(m.leaseExpiresAt > before, renewed, name);
    if (renewed) assert.ok(m.leaseExpiresAt >= lease * 2, name);
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
    const m = fleet.observe(id, { machineType: 'small', zone: 'a', spot: true }, beat.address);
    const job = new Job(JobId('run-000001'), spec({ taskCount: 1 }), WallMs(0), Revision(1));
    job.placeTasks([{ index: 0, machine: id }], clock.steady());
    job.committedVersion = job.version;
    const placed = job.placements.get(0);
    assert.ok(placed);
    if (evicted) placed.evictionGraceSeconds = 0;
    const key = taskKey(job.id, 0);
    fleet.assign(id, key, {
      job: job.id,
      index: 0,
      attempt: placed.attempt,
      resources: { cpus: 2, gpus: 0, memoryGb: 4 },
      image: 'x',
      placedAt: clock.steady(),
    });
    if (inDoubt) m.unacknowledgedStarts.add(attemptKey(key, placed.attempt));
    const placements = { fleet, ledger: { jobs: new Map([[job.id, job]]) } };
    const deps = { clock } as unknown as TermDependencies;
    const sender = new CommandSender(
      epoch,
      placements as unknown as PlacementIndex,
      deps,
      () => undefined,
    );
    const told = sender.commandsForReply(m, toWorkerStatus(beat)).map((o) => o.type);
    assert.deepEqual(told, verbs, name);
  }
});
