import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { pino } from 'pino';
import { parseSettings } from '../../src/config/settings.js';
import type { Fleet } from '../../src/fleet/fleet.js';
import { toReport } from '../../src/fleet/machine.js';
import type { Board } from '../../src/leader/board.js';
import type { TermDeps } from '../../src/leader/deps.js';
import type { Gangs } from '../../src/leader/gangs.js';
import type { Orders } from '../../src/leader/orders.js';
import { Reports } from '../../src/leader/reports.js';
import type { Peer } from '../../src/peer/channel.js';
import {
  decodeRequest,
  decodeResponse,
  encodeRequest,
  encodeResponse,
  type PeerRequest,
  type PeerResponse,
  type RelayedReport,
  type ReportResponse,
} from '../../src/peer/messages.js';
import { ReportRelay, nextBatchReports, showsTheSame } from '../../src/relay/report-relay.js';
import { Epoch, MachineId, NodeId, ms } from '../../src/units/index.js';
import type { Beat, BeatReply, Entry } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { emptyFleet } from '../support/fleet.js';
import { settingsFile } from '../support/settings.js';

const seed = 20261202;
const settings = parseSettings(settingsFile());

const report = (box: string, change: Partial<Beat> = {}): Beat => ({
  box,
  addr: '10.1.0.1:9000',
  build: 'small',
  hall: 'a',
  loaners: true,
  shift: 1,
  tally: 1,
  baton: 0,
  recall_s: null,
  entries: [],
  ...change,
});
const running = (entry: string): Entry => ({ entry, try: 1, status: 'running' });

/** A leader's books of machines, without jobs. */
class Books {
  readonly fleet: Fleet = emptyFleet(settings.workers.lease);
  readonly reports: Reports;

  constructor(
    readonly epoch: Epoch,
    clock: ProcessClock,
  ) {
    const board = { fleet: this.fleet, ledger: { jobs: new Map() } };
    this.reports = new Reports(
      epoch,
      board as unknown as Board,
      { answer: () => [] } as unknown as Orders,
      {} as Gangs,
      { clock, settings, log: pino({ level: 'silent' }) } as unknown as TermDeps,
      () => undefined,
    );
  }

  /** What they say, without what tells how it was learnt. */
  contents(): unknown {
    return [...this.fleet.machines.values()].map((m) => ({
      id: m.id,
      shift: m.report?.session,
      tally: m.report?.sequence,
      baton: m.report?.token,
      entries: m.report?.tasks.map((e) => [e.entry, e.try, e.status, e.cause ?? null]),
      expires: m.expires,
      up: m.up,
      deaf: m.deafSince,
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
  private readonly delivered: { request: PeerRequest; meant: Beat[] }[] = [];

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
  peer(meant: () => Beat): Peer {
    return {
      responsive: true,
      ask: async (request) => {
        const { fault } = this;
        this.fault = 'none';
        if (fault === 'requestLost') return undefined;
        assert.ok(request.type === 'reports');
        const copy = decodeRequest(encodeRequest(1, request)).message;
        const message = { request: copy, meant: request.reports.map(() => meant()) };
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

  private deliver({ request, meant }: { request: PeerRequest; meant: Beat[] }): PeerResponse {
    assert.ok(request.type === 'reports');
    const responses = request.reports.map((r, i): ReportResponse => {
      const taken = this.take(request.epoch, r);
      const truth = meant[i];
      assert.ok(truth);
      if (taken.outcome === 'accepted') this.full.reports.take(truth);
      return taken;
    });
    const { epoch } = this.relayed;
    return decodeResponse(encodeResponse(1, { type: 'reportResponses', epoch, responses })).message;
  }

  private take(epoch: number, r: RelayedReport): ReportResponse {
    const node = NodeId('node-1');
    if (r.kind === 'full') {
      const { reply, baseline } = this.relayed.reports.takeRelayed(r.report, node);
      return { outcome: 'accepted', baseline, orders: reply.orders };
    }
    const known = epoch === this.relayed.epoch;
    const reply = known ? this.relayed.reports.takeUnchanged(r, node) : undefined;
    if (!reply) return { outcome: 'baselineUnknown', baseline: 0, orders: [] };
    this.unchanged++;
    return { outcome: 'accepted', baseline: r.unchangedSince, orders: reply.orders };
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
      let sent: Beat = report('vm-0');
      const peer = leader.peer(() => sent);
      const relays = [0, 1].map((n) => new ReportRelay(NodeId(`node-${n}`), clock, () => peer));
      const machines = [0, 1, 2].map((n) => report(`vm-${n}`));
      const change = (n: number, by: Partial<Beat>): Beat => {
        const before = machines[n] ?? report(`vm-${n}`);
        return (machines[n] = { ...before, tally: before.tally + 1, ...by });
      };
      for (const step of list) {
        if (step.kind === 'report') {
          const entries = [running(`run-000001/${step.change}`)];
          sent = change(step.machine, step.change > 2 ? {} : { entries });
          leader.fault = step.fault;
          void relays[step.through]?.send(sent, 200);
        } else if (step.kind === 'newLeader') leader.succeed();
        else if (step.kind === 'lateCopy') leader.deliverAgain(step.which);
        else if (step.kind === 'command') {
          const answer = change(step.machine, { entries: [running('run-000002/0')] });
          for (const { fleet } of [leader.relayed, leader.full]) {
            fleet.machines.get(MachineId(answer.box))?.take(toReport(answer), clock.steady());
          }
        } else {
          const shift = machines[step.machine]?.shift ?? 1;
          const anew = step.kind === 'startedAnew' ? { shift: 1, tally: 0 } : { shift: shift + 1 };
          change(step.machine, { ...anew, entries: [] });
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
  for (const [now, took, next] of cases) assert.equal(nextBatchReports(now, ms(took)), next);
});

void test('what counts as unchanged', () => {
  const entries = [running('run-000001/0')];
  const cases: [name: string, change: Partial<Beat>, same: boolean][] = [
    ['a later report', { tally: 9, baton: 4 }, true],
    ['no notice, said otherwise', { recall_s: undefined }, true],
    ['a notice', { recall_s: 20 }, false],
    ['another session', { shift: 2 }, false],
    ['another address', { addr: '10.1.0.2:9000' }, false],
    ['one task less', { entries: [] }, false],
    ['another attempt', { entries: [{ ...running('run-000001/0'), try: 2 }] }, false],
    ['another state', { entries: [{ ...running('run-000001/0'), status: 'exited' }] }, false],
    ['a cause', { entries: [{ ...running('run-000001/0'), cause: 'done' }] }, false],
  ];
  for (const [name, change, same] of cases) {
    const first = report('vm-1', { entries });
    assert.equal(showsTheSame(first, { ...first, ...change }), same, name);
  }
});

void test('a report is answered by the leader there is, or given back in time', async () => {
  type Answers = (PeerResponse | undefined)[];
  const answered = (outcome: ReportResponse['outcome']): PeerResponse => ({
    type: 'reportResponses',
    epoch: 5,
    responses: [{ outcome, baseline: 1, orders: [] }],
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
    const peer: Peer = { responsive: true, ask: () => Promise.resolve(answers.shift()) };
    const leader = (): Peer | undefined => (time.now >= leaderAfter ? peer : undefined);
    const relay = new ReportRelay(NodeId('node-1'), clock, leader);
    let reply: BeatReply | 'none' | undefined;
    void relay.send(report('vm-1'), 200).then((r) => (reply = r ?? 'none'));
    await time.run(ms(3500));
    assert.equal(reply !== 'none', expected, name);
    assert.ok(reply !== undefined, `${name}: within the time that a worker waits`);
  }
});
