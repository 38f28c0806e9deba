/**
 * Checks heartbeats that a follower relays to the leader. An unchanged heartbeat is sent as a reference to its
 * baseline, so after a lost, repeated or late message, a restart of the worker or a failover, a wrong baseline would
 * leave the leader with a state that the worker does not have. A response that comes too late makes workers try
 * other controllers.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { pino } from 'pino';
import { parseSettings } from '../../src/config/settings.js';
import type { Fleet } from '../../src/fleet/fleet.js';
import { toWorkerStatus } from '../../src/fleet/worker-status.js';
import type { PlacementIndex } from '../../src/leader/placement-index.js';
import { FencingTokens } from '../../src/leader/fencing-tokens.js';
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
  FencedHeartbeatResponse,
  HeartbeatResponse,
  PeerRequest,
  PeerResponse,
  RelayedHeartbeat,
} from '../../src/peer/messages.js';
import { isUnchanged } from '../../src/relay/baselines.js';
import { nextBatchSize } from '../../src/relay/heartbeat-batch.js';
import { HeartbeatRelay } from '../../src/relay/heartbeat-relay.js';
import { Epoch, MachineId, ControllerId, Revision, ms } from '../../src/units/index.js';
import type { Heartbeat, WorkerHeartbeatResponse, TaskStatus } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { heartbeatOf } from '../support/heartbeat.js';
import { emptyFleet } from '../support/fleet.js';
import { settingsFile } from '../support/settings-file.js';

const seed = 20261202;
const settings = parseSettings(settingsFile());
const log = pino({ level: 'silent' });

const running = (task: string): TaskStatus => ({ task, attempt: 1, state: 'running' });

/** The fleet of a leader without jobs, and its handler of heartbeats. */
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
    const tokens = new FencingTokens(epoch, { lastCommittedRevision: Revision(epoch) });
    this.handler = new HeartbeatHandler({
      epoch,
      clock,
      log,
      lease: settings.workers.lease,
      placements,
      tokens,
      fencing: { tokenForStaleStatus: (machine) => tokens.tokenFor(machine) },
      observer: new StatusReconciler(epoch, placements, { clock, log: pino({ level: 'silent' }) }),
      responseCommands: { commandsForHeartbeat: () => [] },
      onMachineUp: () => undefined,
    });
  }

  /** The state of all machines, except what depends on how it was received. */
  machineStates(): unknown {
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

/** A delivered request with the full heartbeats that it represents. */
interface Message {
  readonly request: PeerRequest;
  readonly fullHeartbeats: readonly Heartbeat[];
}

type Fault = 'none' | 'requestLost' | 'responseLost' | 'deliveredTwice';

/** A leader behind links that lose and repeat messages, and a reference that receives each heartbeat in full. */
class Leader {
  relayed: LeaderState;
  full: LeaderState;
  fault: Fault = 'none';
  /** The number of heartbeats that were accepted by reference. */
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

  /** `currentHeartbeat` returns in full the heartbeat that the request under way carries, in whichever form. */
  peer(currentHeartbeat: () => Heartbeat): Peer {
    return {
      isResponsive: true,
      sendRequest: async (request) => {
        const { fault } = this;
        this.fault = 'none';
        if (fault === 'requestLost') return undefined;
        assert.ok(request.type === 'workerHeartbeats');
        const copy = decodeRequest(encodeRequest(1, request)).message;
        const message = {
          request: copy,
          fullHeartbeats: request.heartbeats.map(() => currentHeartbeat()),
        };
        this.delivered.push(message);
        let response = this.deliver(message);
        if (fault === 'deliveredTwice') response = this.deliver(message);
        await Promise.resolve();
        return fault === 'responseLost' ? undefined : response;
      },
    };
  }

  /** Delivers an earlier message again, however late. */
  deliverAgain(n: number): void {
    const message = this.delivered[n % Math.max(1, this.delivered.length)];
    if (message) this.deliver(message);
  }

  private deliver({ request, fullHeartbeats }: Message): PeerResponse {
    assert.ok(request.type === 'workerHeartbeats');
    assert.equal(request.readsFencingTokens, true);
    const responses = request.heartbeats.map((relayed, i): FencedHeartbeatResponse => {
      const response = this.handle(request.epoch, relayed);
      const heartbeat = fullHeartbeats[i];
      assert.ok(heartbeat);
      if (response.outcome === 'accepted') this.full.handler.handleDirect(heartbeat);
      return { ...response, fencingToken: this.relayed.epoch };
    });
    const { epoch } = this.relayed;
    const response: PeerResponse = { type: 'fencedHeartbeatResponses', epoch, responses };
    return decodeResponse(encodeResponse(1, response)).message;
  }

  private handle(epoch: number, relayed: RelayedHeartbeat): HeartbeatResponse {
    const relayControllerId = ControllerId('node-1');
    if (relayed.kind === 'full') {
      const { response, baseline } = this.relayed.handler.handleRelayed(
        relayed.heartbeat,
        relayControllerId,
      );
      return { outcome: 'accepted', baseline, commands: response.commands };
    }
    const isKnown = epoch === this.relayed.epoch;
    const unchangedResponse = isKnown
      ? this.relayed.handler.handleUnchanged(relayed, relayControllerId)
      : undefined;
    if (!unchangedResponse) return { outcome: 'baselineUnknown', baseline: 0, commands: [] };
    this.unchanged++;
    return {
      outcome: 'accepted',
      baseline: relayed.unchangedSince,
      commands: unchangedResponse.commands,
    };
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

/** Three machines that send heartbeats to a leader through two relays. */
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
        this.respondToCommand(step.machine);
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

  /** Changes a machine's heartbeat. Its sequence number rises by one unless `change` sets it. */
  private change(n: number, change: Partial<Heartbeat>): Heartbeat {
    const previous = this.machines[n] ?? heartbeatOf(`vm-${n}`);
    return (this.machines[n] = { ...previous, sequence: previous.sequence + 1, ...change });
  }

  /** The leader receives a machine's status in the response to a direct command. */
  private respondToCommand(n: number): void {
    const response = this.change(n, { tasks: [running('run-000002/0')] });
    for (const { fleet } of [this.leader.relayed, this.leader.full]) {
      fleet.machines
        .get(MachineId(response.machine))
        ?.recordStatus(toWorkerStatus(response), this.clock.steady());
    }
  }
}

void test('relayed heartbeats leave the same state as full ones, whichever messages are lost, repeated or late', async () => {
  let unchanged = 0;
  await fc.assert(
    fc.asyncProperty(steps, async (list) => {
      const cluster = new Cluster();
      const { time, leader } = cluster;
      for (const step of list) {
        cluster.apply(step);
        await time.run(time.now + 400);
        assert.deepEqual(leader.relayed.machineStates(), leader.full.machineStates());
      }
      unchanged += leader.unchanged;
    }),
    { seed, numRuns: 150 },
  );
  assert.ok(unchanged > 100, `${unchanged} heartbeats were accepted by reference`);
});

void test('batches shrink while the leader is slow and grow while it is fast, within limits', () => {
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

void test('a heartbeat counts as unchanged if only its sequence number and token differ', () => {
  const tasks = [running('run-000001/0')];
  const cases: [name: string, change: Partial<Heartbeat>, isSame: boolean][] = [
    ['a later heartbeat', { sequence: 9, fencingToken: 4 }, true],
    ['an undefined reclaim notice instead of null', { reclaimNoticeSeconds: undefined }, true],
    ['a reclaim notice', { reclaimNoticeSeconds: 20 }, false],
    ['another session', { session: 2 }, false],
    ['another address', { address: '10.1.0.2:9000' }, false],
    ['one task fewer', { tasks: [] }, false],
    ['another attempt', { tasks: [{ ...running('run-000001/0'), attempt: 2 }] }, false],
    ['another state', { tasks: [{ ...running('run-000001/0'), state: 'exited' }] }, false],
    ['an exit reason', { tasks: [{ ...running('run-000001/0'), exitReason: 'done' }] }, false],
  ];
  for (const [name, change, isSame] of cases) {
    const first = heartbeatOf('vm-1', { tasks });
    assert.equal(isUnchanged(first, { ...first, ...change }), isSame, name);
  }
});

void test('a relayed heartbeat gets the response of the leader or none, before its worker gives up', async () => {
  type LeaderResponses = (PeerResponse | undefined)[];
  const leaderResponse = (outcome: HeartbeatResponse['outcome']): PeerResponse => ({
    type: 'heartbeatResponses',
    epoch: 5,
    responses: [{ outcome, baseline: 1, commands: [] }],
  });
  const cases: [
    name: string,
    leaderKnownAfterMs: number,
    leaderResponses: LeaderResponses,
    hasResponse: boolean,
  ][] = [
    ['the leader is known', 0, [leaderResponse('accepted')], true],
    ['a leader becomes known', 1000, [leaderResponse('accepted')], true],
    ['no leader becomes known', 60_000, [], false],
    [
      'the leader refuses at first',
      0,
      [leaderResponse('refused'), leaderResponse('accepted')],
      true,
    ],
    [
      'the leader always refuses',
      0,
      Array.from({ length: 99 }, () => leaderResponse('refused')),
      false,
    ],
    [
      'the leader does not know the baseline',
      0,
      [leaderResponse('baselineUnknown'), leaderResponse('accepted')],
      true,
    ],
    ['the leader does not respond', 0, [undefined], false],
  ];
  for (const [name, leaderKnownAfterMs, leaderResponses, hasResponse] of cases) {
    const time = new VirtualTime();
    const clock = new ProcessClock(time, 0, 0);
    const peer: Peer = {
      isResponsive: true,
      sendRequest: () => Promise.resolve(leaderResponses.shift()),
    };
    const leaderPeer = (): Peer | undefined => (time.now >= leaderKnownAfterMs ? peer : undefined);
    const relay = new HeartbeatRelay({
      controllerId: ControllerId('node-1'),
      clock,
      log,
      leaderPeer,
    });
    let response: WorkerHeartbeatResponse | 'none' | undefined;
    void relay.send(heartbeatOf('vm-1'), 200).then((received) => (response = received ?? 'none'));
    await time.run(ms(3500));
    assert.equal(response !== 'none', hasResponse, name);
    assert.ok(response !== undefined, `${name}: settled before the worker gives up`);
  }
});
