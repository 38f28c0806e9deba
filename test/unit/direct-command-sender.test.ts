/**
 * Checks the commands to workers, both direct commands and those in responses to heartbeats. Guards against a lease
 * that the controller extends although the worker's own lease has run out, against the start of an attempt that must
 * stop, and against direct commands that are sent too early, twice or not at all.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { parseSettings } from '../../src/config/settings.js';
import type { Fleet } from '../../src/fleet/fleet.js';
import type { Machine } from '../../src/fleet/machine.js';
import { workerLeaseEnd } from '../../src/fleet/worker-lease.js';
import { attemptKey, toWorkerStatus } from '../../src/fleet/worker-status.js';
import { AttemptClearance } from '../../src/leader/attempt-clearance.js';
import type { PlacementIndex } from '../../src/leader/placement-index.js';
import {
  DirectCommandSender,
  type DirectCommandSenderDependencies,
} from '../../src/leader/direct-command-sender.js';
import { prepareDirectCommands, recordDirectStarts } from '../../src/leader/direct-commands.js';
import { FencingTokens } from '../../src/leader/fencing-tokens.js';
import { ResponseCommands } from '../../src/leader/response-commands.js';
import { StartFencing } from '../../src/leader/start-fencing.js';
import { Epoch, MachineId, Revision, SteadyMs, seconds } from '../../src/units/index.js';
import { encodeHeartbeat, type Priority } from '../../src/wire/index.js';
import { emptyFleet, createPlacedTask, type PlacedTask } from '../support/fleet.js';
import { settingsFile } from '../support/settings-file.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

const epoch = Epoch(50);
const machineId = MachineId('vm-1');
const heartbeat = {
  machine: machineId,
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

const observeMachine = (fleet: Fleet): Machine =>
  fleet.upsertMachine(
    machineId,
    { machineType: 'small', zone: 'a', spot: true },
    heartbeat.address,
  );

void test('the response to direct commands extends a lease only if it is the first message of a new session', async () => {
  const settings = parseSettings(settingsFile());
  const { lease } = settings.workers;
  type Case = [
    name: string,
    isControllerBusy: boolean,
    priority: Priority,
    responseStatus: number,
    session: number,
    isExtended: boolean,
  ];
  const cases: Case[] = [
    ['executed: no heartbeat got a response', false, 'normal', 200, 1, false],
    ['normal priority: not sent while the controller is busy', true, 'normal', 0, 1, false],
    ['high priority: not sent while the controller is busy', true, 'high', 0, 1, false],
    [
      'refused in a new session: its lease runs from the start of the session',
      false,
      'normal',
      409,
      2,
      true,
    ],
  ];
  for (const [name, isControllerBusy, priority, responseStatus, session, isExtended] of cases) {
    const time = new VirtualTime();
    const clock = new ProcessClock(time, 0, 0);
    const fleet = emptyFleet(lease);
    const machine = observeMachine(fleet);
    machine.recordStatus(toWorkerStatus(heartbeat), clock.steady());
    machine.extendLease(workerLeaseEnd(clock.steady(), lease));
    const { job } = createPlacedTask(fleet, machineId, clock.steady(), { priority });
    const deps = {
      settings,
      clock,
      log: pino({ level: 'silent' }),
      authority: () => epoch,
      http: {
        send: () =>
          Promise.resolve({
            kind: 'response',
            status: responseStatus,
            body: encodeHeartbeat({ ...heartbeat, session, sequence: 12 }),
          }),
      },
    };
    const placements = { fleet, ledger: { jobs: new Map([[job.id, job]]) } };
    const sender = new DirectCommandSender(
      epoch,
      placements as unknown as PlacementIndex,
      { tokenForRequest: () => epoch },
      { observe: () => undefined },
      deps as unknown as DirectCommandSenderDependencies,
    );
    // By now the worker's own lease may have expired and a new session may have begun.
    await time.run(lease);
    const previousExpiry = machine.leaseExpiresAt;
    assert.ok(clock.steady() <= previousExpiry);
    sender.isControllerBusy = isControllerBusy;
    sender.scheduleDirectCommands(machineId);
    await time.run(lease + 10);
    assert.equal(machine.status?.session, session, name);
    assert.equal(machine.status.sequence, responseStatus === 0 ? 9 : 12, name);
    assert.equal(machine.leaseExpiresAt > previousExpiry, isExtended, name);
    if (isExtended) assert.ok(machine.leaseExpiresAt >= lease * 2, name);
  }
});

void test('an attempt that must stop is not started', () => {
  type Case = [
    name: string,
    isEvicted: boolean,
    mayStillArrive: boolean,
    types: string[],
    isFenced: boolean,
  ];
  const cases: Case[] = [
    ['an attempt that should run', false, false, ['launch'], false],
    ['an attempt that should run, whose direct start may arrive', false, true, ['launch'], false],
    ['evicted before its start was sent', true, false, [], false],
    ['evicted while its direct start may still be delivered', true, true, [], true],
  ];
  const settings = parseSettings(settingsFile());
  for (const [name, isEvicted, mayStillArrive, types, isFenced] of cases) {
    const clock = new ProcessClock(new VirtualTime(), 0, 0);
    const fleet = emptyFleet(settings.workers.lease);
    const machine = observeMachine(fleet);
    const { job, placement, key } = createPlacedTask(fleet, machineId, clock.steady());
    if (isEvicted) placement.evictionGraceSeconds = 0;
    const { attempt } = placement;
    if (mayStillArrive)
      machine.directStarts.recordSent({ task: key, attempt, fencingToken: epoch });
    const ledger = { jobs: new Map([[job.id, job]]), finalState: () => undefined };
    const tokens = new FencingTokens(epoch, { lastCommittedRevision: Revision(epoch + 1) });
    const clearance = new AttemptClearance(ledger, tokens, settings);
    const fencing = new StartFencing(ledger.jobs, tokens, clearance, clock);
    const log = pino({ level: 'silent' });
    const responseCommands = new ResponseCommands(ledger, fencing, clearance, log);
    const commands = responseCommands.commandsForHeartbeat(machine, toWorkerStatus(heartbeat));
    assert.deepEqual(
      commands.map((command) => command.type),
      types,
      name,
    );
    assert.equal(tokens.tokenFor(machine), isFenced ? epoch + 1 : epoch, name);
  }
});

void test('direct commands follow from the state of a placement, and each is sent once', () => {
  type Change = (task: PlacedTask, machine: Machine) => void;
  const cases: [name: string, mayStart: boolean, change: Change, commands: string[]][] = [
    ['a placed task', true, () => undefined, ['launch']],
    ['a placed task, but starts are left to responses', false, () => undefined, []],
    ['a placement that is not committed', true, ({ job }) => (job.committedVersion = 0), []],
    [
      'already started in a response',
      true,
      ({ placement }) => (placement.startSentInResponseTo = heartbeat),
      [],
    ],
    ['already reported by its worker', true, ({ placement }) => (placement.isReported = true), []],
    ['its machine is draining', true, (_, machine) => (machine.isDecommissioning = true), []],
    ['cancelled, start not sent', true, ({ job }) => (job.isCancelled = true), []],
    [
      'cancelled, started in a response',
      false,
      ({ job, placement }) => {
        job.isCancelled = true;
        placement.startSentInResponseTo = heartbeat;
      },
      ['kill 0'],
    ],
    [
      'evicted, reported',
      true,
      ({ placement }) => {
        placement.evictionGraceSeconds = 7;
        placement.isReported = true;
      },
      ['kill 7'],
    ],
    [
      'evicted, then cancelled',
      true,
      ({ job, placement }) => {
        placement.evictionGraceSeconds = 7;
        placement.isReported = true;
        job.isCancelled = true;
      },
      ['kill 0'],
    ],
  ];
  for (const [name, mayStart, change, expected] of cases) {
    const fleet = emptyFleet(seconds(24));
    const machine = observeMachine(fleet);
    const task = createPlacedTask(fleet, machineId, SteadyMs(0));
    change(task, machine);
    const jobs = new Map([[task.job.id, task.job]]);
    const commands = prepareDirectCommands(machine, jobs, mayStart);
    recordDirectStarts(machine, commands, epoch);
    const commandNames = commands.map((command) =>
      command.type === 'kill' ? `kill ${command.gracePeriodSeconds}` : command.type,
    );
    assert.deepEqual(commandNames, expected, name);
    const attempt = attemptKey(task.key, task.placement.attempt);
    const isStart = expected.includes('launch');
    const started = [...machine.directStarts].map(([key]) => key);
    assert.deepEqual(started, isStart ? [attempt] : [], name);
    assert.equal(machine.directStarts.isExecutableUnder(epoch, attempt), isStart, name);
    assert.deepEqual(prepareDirectCommands(machine, jobs, mayStart), [], `${name}: sent once`);
  }
});
