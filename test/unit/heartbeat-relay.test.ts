/** Heartbeats that a follower passes on to the leader. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { pino } from 'pino';
import { parseSettings } from '../../src/config/settings.js';
import type { Fleet } from '../../src/fleet/fleet.js';
import { toWorkerStatus } from '../../src/fleet/worker-status.js';
import type { PlacementIndex } from '../../src/leader/placement-index.js';
import { HeartbeatHandler } from '../../src/leader/heartbeat-handler.js';
import { StatusReconciler } from '../../src/leader/status-reconciler.js';
import type { Peer } from '../../src/peer/peer.js';
import {
  decodeRequest,
  decodeResponse,
  encodeRequest,
  encodeResponse,
} from '../../src/peer/codec.js';
import type {
  HeartbeatResponse,
  PeerRequest,
  PeerResponse,
  RelayedHeartbeat,
} from '../../src/peer/messages.js';
import { isUnchanged } from '../../src/relay/baselines.js';
import { nextBatchSize } from '../../src/relay/heartbeat-batch.js';
import { HeartbeatRelay } from '../../src/relay/heartbeat-relay.js';
import { Epoch, MachineId, ControllerId, ms } from '../../src/units/index.js';
import type { Heartbeat, WorkerHeartbeatResponse, TaskStatus } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { emptyFleet } from '../support/fleet.js';
import { settingsFile } from '../support/settings.js';

const seed = 20261202;
const settings = parseSettings(settingsFile());
const log = pino({ level: 'silent' });

const heartbeatOf = (machine: string, change: Partial<Heartbeat> = {}): Heartbeat => ({
  machine,
  address: '10.1.0.1:9000',
  machineType: 'small',
  zone: 'a',
  spot: true,
  session: 1,
  sequence: 1,
  fencingToken: 0,
  reclaimNoticeSeconds: null,
  tasks: [],
  ...change,
});
const running = (task: string): TaskStatus => ({ task, attempt: 1, state: 'running' });

/** What a leader knows of machines, without jobs. */
class LeaderState {
  readonly fleet: Fleet = emptyFleet(settings.workers.lease);
  readonly handler: HeartbeatHandler;

  constructor(
    readonly epoch: Epoch,
    clock: ProcessClock,
  ) {
    const placements = {
      fleet: this.fleet,
      ledger: { jobs: new Map() },
    } as unknown as PlacementIndex;
    this.handler = new HeartbeatHandler({
      epoch,
      clock,
      lease: settings.workers.lease,
      placements,
      observer: new StatusReconciler(epoch, placements, { clock, log: pino({ level: 'silent' }) }),
      responseCommands: { commandsForHeartbeat: () => [] },
      onMachineUp: () => undefined,
    });
  }

  /** The state of all machines, without what depends on the way by which it was received. */
  contents(): unknown {
    return [...this.fleet.machines.values()].map((machine) => ({
      id: machine.id,
      session: machine.status?.session,
      sequence: machine.status?.sequence,
      fencingToken: machine.status?.fencingToken,
      tasks: machine.status?.tasks.map((status) => [
        status.task,
        status.attempt,
        status.state,
        status.exitReason ?? null,
      ]),
      expires: machine.leaseExpiresAt,
      up: machine.isUp,
      notReceiving: machine.notReceivingSince,
    }));
  }
}

/** A request with the heartbeats that it stands for. */
interface Message {
  readonly request: PeerRequest;
  readonly meant: readonly Heartbeat[];
}

type Fault = 'none' | 'requestLost' | 'responseLost' | 'deliveredTwice';

/** A leader behind links that lose and repeat messages, beside one that receives every heartbeat in full. */
class Leader {
  relayed: LeaderState;
  full: LeaderState;
  fault: Fault = 'none';
  /** How many heartbeats were accepted by reference. */
  unchanged = 0;
  private readonly delivered: Message[] = [];

  constructor(private readonly clock: ProcessClock) {
    this.relayed = new LeaderState(Epoch(1), clock);
    this.full = new LeaderState(Epoch(1), clock);
  }

  replace(): void {
    const epoch = Epoch(this.relayed.epoch + 1);
    this.relayed = new LeaderState(epoch, this.clock);
    this.full = new LeaderState(epoch, this.clock);
  }

  /** `meant`: the heartbeat that those of a request stand for, in whatever form they are sent. */
  peer(meant: () => Heartbeat): Peer {
    return {
      isResponsive: true,
      sendRequest: async (request) => {
        const { fault } = this;
        this.fault = 'none';
        if (fault === 'requestLost') return undefined;
        assert.ok(request.type === 'workerHeartbeats');
        const copy = decodeRequest(encodeRequest(1, request)).message;
        const message = { request: copy, meant: request.heartbeats.map(() => meant()) };
        this.delivered.push(message);
        let response = this.deliver(message);
        if (fault === 'deliveredTwice') response = this.deliver(message);
        await Promise.resolve();
        return fault === 'responseLost' ? undefined : response;
      },
    };
  }

  /** A message that was delivered before arrives once more, however late. */
  deliverAgain(n: number): void {
    const message = this.delivered[n % Math.max(1, this.delivered.length)];
    if (message) this.deliver(message);
  }

  private deliver({ request, meant }: Message): PeerResponse {
    assert.ok(request.type === 'workerHeartbeats');
    const responses = request.heartbeats.map((relayed, i): HeartbeatResponse => {
      const response = this.handle(request.epoch, relayed);
      const heartbeat = meant[i];
      assert.ok(heartbeat);
      if (response.outcome === 'accepted') this.full.handler.handleDirect(heartbeat);
      return response;
    });
    const { epoch } = this.relayed;
    return decodeResponse(encodeResponse(1, { type: 'heartbeatResponses', epoch, responses }))
      .message;
  }

  private handle(epoch: number, relayed: RelayedHeartbeat): HeartbeatResponse {
    const node = ControllerId('node-1');
    if (relayed.kind === 'full') {
      const { response, baseline } = this.relayed.handler.handleRelayed(relayed.heartbeat, node);
      return { outcome: 'accepted', baseline, commands: response.commands };
    }
    const isKnown = epoch === this.relayed.epoch;
    const reply = isKnown ? this.relayed.handler.handleUnchanged(relayed, node) : undefined;
    if (!reply) return { outcome: 'baselineUnknown', baseline: 0, commands: [] };
    this.unchanged++;
    return { outcome: 'accepted', baseline: relayed.unchangedSince, commands: reply.commands };
  }
}

type Step =
  | { kind: 'heartbeat'; machine: number; relay: number; change: number; fault: Fault }
  | { kind: 'newSession' | 'restart' | 'command'; machine: number }
  | { kind: 'newLeader' }
  | { kind: 'lateCopy'; which: number };

const machineIndex = fc.nat(2);
const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    {
      weight: 12,
      arbitrary: fc.record({
        kind: fc.constant('heartbeat' as const),
        machine: machineIndex,
        relay: fc.nat(1),
        change: fc.nat(5),
        fault: fc.constantFrom<Fault>(
          'none',
          'none',
          'requestLost',
          'responseLost',
          'deliveredTwice',
        ),
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constantFrom('newSession' as const, 'restart' as const, 'command' as const),
        machine: machineIndex,
      }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('newLeader' as const) }) },
    {
      weight: 2,
      arbitrary: fc.record({ kind: fc.constant('lateCopy' as const), which: fc.nat(40) }),
    },
  ),
  { maxLength: 60, size: 'max' },
);

/** Three machines that report to a leader through two relays. */
class Cluster {
  readonly time = new VirtualTime();
  readonly leader: Leader;
  private readonly clock = new ProcessClock(this.time, 0, 0);
  private readonly relays: readonly HeartbeatRelay[];
  private readonly machines = [0, 1, 2].map((n) => heartbeatOf(`vm-${n}`));
  private sent = heartbeatOf('vm-0');

  constructor() {
    this.leader = new Leader(this.clock);
    const peer = this.leader.peer(() => this.sent);
    this.relays = [0, 1].map(
      (n) =>
        new HeartbeatRelay({
          controllerId: ControllerId(`node-${n}`),
          clock: this.clock,
          log,
          leaderPeer: () => peer,
        }),
    );
  }

  apply(step: Step): void {
    switch (step.kind) {
      case 'heartbeat': {
        const tasks = [running(`run-000001/${step.change}`)];
        this.sent = this.change(step.machine, step.change > 2 ? {} : { tasks });
        this.leader.fault = step.fault;
        void this.relays[step.relay]?.send(this.sent, 200);
        return;
      }
      case 'newLeader':
        this.leader.replace();
        return;
      case 'lateCopy':
        this.leader.deliverAgain(step.which);
        return;
      case 'command':
        this.answerCommand(step.machine);
        return;
      case 'restart':
        this.change(step.machine, { session: 1, sequence: 0, tasks: [] });
        return;
      case 'newSession': {
        const session = this.machines[step.machine]?.session ?? 1;
        this.change(step.machine, { session: session + 1, tasks: [] });
      }
    }
  }

  /** A machine's status changes; so does its sequence number, unless it is given. */
  private change(n: number, change: Partial<Heartbeat>): Heartbeat {
    const before = this.machines[n] ?? heartbeatOf(`vm-${n}`);
    return (this.machines[n] = { ...before, sequence: before.sequence + 1, ...change });
  }

  /** The leader learns of a machine by its answer to a command. */
  private answerCommand(n: number): void {
    const answer = this.change(n, { tasks: [running('run-000002/0')] });
    for (const { fleet } of [this.leader.relayed, this.leader.full]) {
      fleet.machines
        .get(MachineId(answer.machine))
        ?.recordStatus(toWorkerStatus(answer), this.clock.steady());
    }
  }
}

void test('relayed heartbeats leave the same state as full ones, whatever is lost, repeated or late', async () => {
  let unchanged = 0;
  await fc.assert(
    fc.asyncProperty(steps, async (list) => {
      const cluster = new Cluster();
      const { time, leader } = cluster;
      for (const step of list) {
        cluster.apply(step);
        await time.run(time.now + 400);
        assert.deepEqual(leader.relayed.contents(), leader.full.contents());
      }
      unchanged += leader.unchanged;
    }),
    { seed, numRuns: 150 },
  );
  assert.ok(unchanged > 100, `${unchanged} heartbeats were accepted by reference`);
});

void test('batches shrink where the leader is slow and grow where it is fast, within bounds', () => {
  const cases: [size: number, responseTimeMs: number, next: number][] = [
    [40, 1500, 20],
    [12, 2500, 10],
    [10, 2500, 10],
    [40, 600, 40],
    [40, 100, 60],
    [150, 100, 160],
    [160, 100, 160],
  ];
  for (const [size, responseTime, next] of cases) {
    assert.equal(nextBatchSize(size, ms(responseTime)), next);
  }
});

void test('which heartbeats count as unchanged', () => {
  const tasks = [running('run-000001/0')];
  const cases: [name: string, change: Partial<Heartbeat>, same: boolean][] = [
    ['a later heartbeat', { sequence: 9, fencingToken: 4 }, true],
    ['no notice, in the other form', { reclaimNoticeSeconds: undefined }, true],
    ['a notice', { reclaimNoticeSeconds: 20 }, false],
    ['another session', { session: 2 }, false],
    ['another address', { address: '10.1.0.2:9000' }, false],
    ['one task fewer', { tasks: [] }, false],
    ['another attempt', { tasks: [{ ...running('run-000001/0'), attempt: 2 }] }, false],
    ['another state', { tasks: [{ ...running('run-000001/0'), state: 'exited' }] }, false],
    ['an exit reason', { tasks: [{ ...running('run-000001/0'), exitReason: 'done' }] }, false],
  ];
  for (const [name, change, same] of cases) {
    const first = heartbeatOf('vm-1', { tasks });
    assert.equal(isUnchanged(first, { ...first, ...change }), same, name);
  }
});

void test('a heartbeat is answered by the leader, or not at all, in time for its worker', async () => {
  type Answers = (PeerResponse | undefined)[];
  const answered = (outcome: HeartbeatResponse['outcome']): PeerResponse => ({
    type: 'heartbeatResponses',
    epoch: 5,
    responses: [{ outcome, baseline: 1, commands: [] }],
  });
  const cases: [name: string, leaderAfter: number, answers: Answers, reply: boolean][] = [
    ['a leader that is known', 0, [answered('accepted')], true],
    ['a leader appears', 1000, [answered('accepted')], true],
    ['none appears', 60_000, [], false],
    ['one that may not answer yet', 0, [answered('refused'), answered('accepted')], true],
    ['one that may never answer', 0, Array.from({ length: 99 }, () => answered('refused')), false],
    ['one that needs it in full', 0, [answered('baselineUnknown'), answered('accepted')], true],
    ['no response', 0, [undefined], false],
  ];
  for (const [name, leaderAfter, answers, expected] of cases) {
    const time = new VirtualTime();
    const clock = new ProcessClock(time, 0, 0);
    const peer: Peer = { isResponsive: true, sendRequest: () => Promise.resolve(answers.shift()) };
    const leaderPeer = (): Peer | undefined => (time.now >= leaderAfter ? peer : undefined);
    const relay = new HeartbeatRelay({
      controllerId: ControllerId('node-1'),
      clock,
      log,
      leaderPeer,
    });
    let reply: WorkerHeartbeatResponse | 'none' | undefined;
    void relay.send(heartbeatOf('vm-1'), 200).then((received) => (reply = received ?? 'none'));
    await time.run(ms(3500));
    assert.equal(reply !== 'none', expected, name);
    assert.ok(reply !== undefined, `${name}: within the time that a worker waits`);
  }
});
