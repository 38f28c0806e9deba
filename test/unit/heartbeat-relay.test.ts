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
import type { Peer } from '../../src/peer/channel.js';
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
import { HeartbeatRelay, nextBatchSize, isUnchanged } from '../../src/relay/heartbeat-relay.js';
import { Epoch, MachineId, NodeId, ms } from '../../src/units/index.js';
import type { Heartbeat, HeartbeatReply, TaskStatus } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { emptyFleet } from '../support/fleet.js';
import { settingsFile } from '../support/settings.js';

const seed = 20261202;
const settings = parseSettings(settingsFile());

const report = (box: string, change: Partial<Heartbeat> = {}): Heartbeat => ({
  machine: box,
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
const running = (entry: string): TaskStatus => ({ task: entry, attempt: 1, state: 'running' });

/** A leader's books of machines, without jobs. */
class Books {
  readonly fleet: Fleet = emptyFleet(settings.workers.lease);
  readonly reports: HeartbeatHandler;

  constructor(
    readonly epoch: Epoch,
    clock: ProcessClock,
  ) {
    const placements = {
      fleet: this.fleet,
      ledger: { jobs: new Map() },
    } as unknown as PlacementIndex;
    this.reports = new HeartbeatHandler({
      epoch,
      clock,
      lease: settings.workers.lease,
      placements,
      observer: new StatusReconciler(epoch, placements, { clock, log: pino({ level: 'silent' }) }),
      replies: { commandsForReply: () => [] },
      onMachineUp: () => undefined,
    });
  }

  /** What they say, without what tells how it was learnt. */
  contents(): unknown {
    return [...this.fleet.machines.values()].map((m) => ({
      id: m.id,
      session: m.status?.session,
      sequence: m.status?.sequence,
      fencingToken: m.status?.fencingToken,
      tasks: m.status?.tasks.map((e) => [e.task, e.attempt, e.state, e.exitReason ?? null]),
      expires: m.leaseExpiresAt,
      up: m.isUp,
      deaf: m.notReceivingSince,
    }));
  }
}

type Fault = 'none' | 'requestLost' | 'responseLost' | 'deliveredTwice';

/** A leader behind links that lose and repeat messages; its books beside those of full reports. */
class Leader {
  relayed: Books;
  full: Books;
  fault: Fault = 'none';
  unchanged = 0;
  private readonly delivered: { request: PeerRequest; meant: Heartbeat[] }[] = [];

  constructor(private readonly clock: ProcessClock) {
    this.relayed = new Books(Epoch(1), clock);
    this.full = new Books(Epoch(1), clock);
  }

  succeed(): void {
    const epoch = Epoch(this.relayed.epoch + 1);
    this.relayed = new Books(epoch, this.clock);
    this.full = new Books(epoch, this.clock);
  }

  /** `meant`: what the reports of a request stand for, whatever is left of them on the way. */
  peer(meant: () => Heartbeat): Peer {
    return {
      responsive: true,
      request: async (request) => {
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

  private deliver({ request, meant }: { request: PeerRequest; meant: Heartbeat[] }): PeerResponse {
    assert.ok(request.type === 'workerHeartbeats');
    const responses = request.heartbeats.map((r, i): HeartbeatResponse => {
      const taken = this.take(request.epoch, r);
      const truth = meant[i];
      assert.ok(truth);
      if (taken.outcome === 'accepted') this.full.reports.handleDirect(truth);
      return taken;
    });
    const { epoch } = this.relayed;
    return decodeResponse(encodeResponse(1, { type: 'heartbeatResponses', epoch, responses }))
      .message;
  }

  private take(epoch: number, r: RelayedHeartbeat): HeartbeatResponse {
    const node = NodeId('node-1');
    if (r.kind === 'full') {
      const { reply, baseline } = this.relayed.reports.handleRelayed(r.heartbeat, node);
      return { outcome: 'accepted', baseline, commands: reply.commands };
    }
    const known = epoch === this.relayed.epoch;
    const reply = known ? this.relayed.reports.handleUnchanged(r, node) : undefined;
    if (!reply) return { outcome: 'baselineUnknown', baseline: 0, commands: [] };
    this.unchanged++;
    return { outcome: 'accepted', baseline: r.unchangedSince, commands: reply.commands };
  }
}

type Step =
  | { kind: 'report'; machine: number; through: number; change: number; fault: Fault }
  | { kind: 'newSession' | 'startedAnew' | 'command'; machine: number }
  | { kind: 'newLeader' }
  | { kind: 'lateCopy'; which: number };

void test('relayed reports leave the same books as full ones, whatever is lost, repeated or late', async () => {
  const machine = fc.nat(2);
  const steps = fc.array(
    fc.oneof(
      {
        weight: 12,
        arbitrary: fc.record({
          kind: fc.constant('report' as const),
          machine,
          through: fc.nat(1),
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
          kind: fc.constantFrom('newSession' as const, 'startedAnew' as const, 'command' as const),
          machine,
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
  let unchanged = 0;
  await fc.assert(
    fc.asyncProperty(steps, async (list: Step[]) => {
      const time = new VirtualTime();
      const clock = new ProcessClock(time, 0, 0);
      const leader = new Leader(clock);
      let sent: Heartbeat = report('vm-0');
      const peer = leader.peer(() => sent);
      const relays = [0, 1].map((n) => new HeartbeatRelay(NodeId(`node-${n}`), clock, () => peer));
      const machines = [0, 1, 2].map((n) => report(`vm-${n}`));
      const change = (n: number, by: Partial<Heartbeat>): Heartbeat => {
        const before = machines[n] ?? report(`vm-${n}`);
        return (machines[n] = { ...before, sequence: before.sequence + 1, ...by });
      };
      for (const step of list) {
        if (step.kind === 'report') {
          const entries = [running(`run-000001/${step.change}`)];
          sent = change(step.machine, step.change > 2 ? {} : { tasks: entries });
          leader.fault = step.fault;
          void relays[step.through]?.send(sent, 200);
        } else if (step.kind === 'newLeader') leader.succeed();
        else if (step.kind === 'lateCopy') leader.deliverAgain(step.which);
        else if (step.kind === 'command') {
          const answer = change(step.machine, { tasks: [running('run-000002/0')] });
          for (const { fleet } of [leader.relayed, leader.full]) {
            fleet.machines
              .get(MachineId(answer.machine))
              ?.recordStatus(toWorkerStatus(answer), clock.steady());
          }
        } else {
          const session = machines[step.machine]?.session ?? 1;
          const anew =
            step.kind === 'startedAnew' ? { session: 1, sequence: 0 } : { session: session + 1 };
          change(step.machine, { ...anew, tasks: [] });
        }
        await time.run(time.now + 400);
        assert.deepEqual(leader.relayed.contents(), leader.full.contents());
      }
      unchanged += leader.unchanged;
    }),
    { seed, numRuns: 150 },
  );
  assert.ok(unchanged > 100, `${unchanged} reports came by reference`);
});

void test('batches shrink where the leader is slow and grow where it is fast, within bounds', () => {
  const cases: [now: number, tookMs: number, next: number][] = [
    [40, 1500, 20],
    [12, 2500, 10],
    [10, 2500, 10],
    [40, 600, 40],
    [40, 100, 60],
    [150, 100, 160],
    [160, 100, 160],
  ];
  for (const [now, took, next] of cases) assert.equal(nextBatchSize(now, ms(took)), next);
});

void test('what counts as unchanged', () => {
  const entries = [running('run-000001/0')];
  const cases: [name: string, change: Partial<Heartbeat>, same: boolean][] = [
    ['a later report', { sequence: 9, fencingToken: 4 }, true],
    ['no notice, said otherwise', { reclaimNoticeSeconds: undefined }, true],
    ['a notice', { reclaimNoticeSeconds: 20 }, false],
    ['another session', { session: 2 }, false],
    ['another address', { address: '10.1.0.2:9000' }, false],
    ['one task less', { tasks: [] }, false],
    ['another attempt', { tasks: [{ ...running('run-000001/0'), attempt: 2 }] }, false],
    ['another state', { tasks: [{ ...running('run-000001/0'), state: 'exited' }] }, false],
    ['a cause', { tasks: [{ ...running('run-000001/0'), exitReason: 'done' }] }, false],
  ];
  for (const [name, change, same] of cases) {
    const first = report('vm-1', { tasks: entries });
    assert.equal(isUnchanged(first, { ...first, ...change }), same, name);
  }
});

void test('a report is answered by the leader there is, or given back in time', async () => {
  type Answers = (PeerResponse | undefined)[];
  const answered = (outcome: HeartbeatResponse['outcome']): PeerResponse => ({
    type: 'heartbeatResponses',
    epoch: 5,
    responses: [{ outcome, baseline: 1, commands: [] }],
  });
  const cases: [name: string, leaderAfter: number, answers: Answers, reply: boolean][] = [
    ['at once', 0, [answered('accepted')], true],
    ['a leader appears', 1000, [answered('accepted')], true],
    ['none appears', 60_000, [], false],
    ['one that may not answer yet', 0, [answered('refused'), answered('accepted')], true],
    ['one that may never answer', 0, Array.from({ length: 99 }, () => answered('refused')), false],
    ['one that wants it in full', 0, [answered('baselineUnknown'), answered('accepted')], true],
    ['no word', 0, [undefined], false],
  ];
  for (const [name, leaderAfter, answers, expected] of cases) {
    const time = new VirtualTime();
    const clock = new ProcessClock(time, 0, 0);
    const peer: Peer = { responsive: true, request: () => Promise.resolve(answers.shift()) };
    const leader = (): Peer | undefined => (time.now >= leaderAfter ? peer : undefined);
    const relay = new HeartbeatRelay(NodeId('node-1'), clock, leader);
    let reply: HeartbeatReply | 'none' | undefined;
    void relay.send(report('vm-1'), 200).then((r) => (reply = r ?? 'none'));
    await time.run(ms(3500));
    assert.equal(reply !== 'none', expected, name);
    assert.ok(reply !== undefined, `${name}: within the time that a worker waits`);
  }
});
