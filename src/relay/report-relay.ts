/**
 * How a follower passes workers' reports to the leader: in batches, and by reference where nothing but
 * the sequence number has changed, so that the leader spends little on each.
 */
import type { Peer } from '../peer/channel.js';
import type { RelayedReport, ReportResponse } from '../peer/messages.js';
import {
  later,
  ms,
  since,
  type Clock,
  type DurationMs,
  type NodeId,
  type SteadyMs,
} from '../units/index.js';
import { ExpiringMap } from '../units/expiring-map.js';
import type { Heartbeat, HeartbeatReply, TaskStatus } from '../wire/index.js';

/** What comes within this time goes in one batch; the first after a pause goes at once. */
const BATCH_WINDOW = ms(100);
/** A worker gives up waiting after 4 s. */
const BATCH_TIMEOUT = ms(2500);
/**
 * How long a report waits for a leader that may answer it. One that takes over within this time does so,
 * and the worker need not look for it from node to node.
 */
const MAX_LEADER_WAIT = ms(1500);
const LEADER_POLL = ms(100);
/** Reports and their orders together must fit a frame of the channel, which takes a little over 64 KiB. */
const MAX_BATCH_BYTES = 40 * 1024;
/**
 * How many reports go in one batch, by how long the leader took for the last: one that takes longer than its
 * workers wait is lost as a whole, and all of them look for another node.
 */
const FIRST_BATCH_REPORTS = 40;
const LEAST_BATCH_REPORTS = 10;
const MOST_BATCH_REPORTS = 160;
const SLOW_RESPONSE = ms(1000);
const FAST_RESPONSE = ms(300);
/** Nobody waits any more for the answer to a report that came longer ago: workers give up after 4 s. */
const ABANDONED_AFTER = ms(3500);
/** Baselines of machines that went elsewhere are dropped after a while. */
const BASELINE_IDLE = ms(30_000);

/** The report that the leader took last from a machine through this node. */
interface Baseline {
  readonly id: number;
  readonly report: Heartbeat;
}

interface PendingReport {
  readonly report: Heartbeat;
  readonly bytes: number;
  /** Until when it waits for a leader that may answer it. */
  readonly waitsUntil: SteadyMs;
  readonly abandonedAt: SteadyMs;
  /** Sent in full, whatever the leader may know. */
  readonly full: boolean;
  readonly settle: (reply: HeartbeatReply | undefined) => void;
}

export class ReportRelay {
  private pending: PendingReport[] = [];
  private baselines = new ExpiringMap<string, Baseline>(BASELINE_IDLE);
  /** The epoch under which the baselines were given. */
  private epoch = 0;
  private scheduled = false;
  private underWay = false;
  private batchReports = FIRST_BATCH_REPORTS;
  private sentAt: SteadyMs | undefined;

  constructor(
    private readonly node: NodeId,
    private readonly clock: Clock,
    private readonly leaderPeer: () => Peer | undefined,
  ) {}

  /** The leader's answer to a report; undefined if none came, or it may not answer. */
  send(report: Heartbeat, bytes: number): Promise<HeartbeatReply | undefined> {
    const now = this.clock.steady();
    return new Promise((settle) => {
      const waitsUntil = later(now, MAX_LEADER_WAIT);
      const abandonedAt = later(now, ABANDONED_AFTER);
      this.pending.push({ report, bytes, waitsUntil, abandonedAt, full: false, settle });
      this.schedule();
    });
  }

  /** One batch is under way at a time: a leader that has much to do gets fewer and fuller ones. */
  private schedule(): void {
    if (this.scheduled || this.underWay || this.pending.length === 0) return;
    this.scheduled = true;
    const now = this.clock.steady();
    const rest = this.sentAt === undefined ? 0 : BATCH_WINDOW - since(this.sentAt, now);
    this.clock.after(ms(Math.max(0, rest)), () => this.flush());
  }

  private flush(): void {
    this.scheduled = false;
    const peer = this.leaderPeer();
    if (!peer) {
      this.waitForLeader();
      return;
    }
    this.sentAt = this.clock.steady();
    const batch = this.takeBatch(this.sentAt);
    if (batch.length === 0) return;
    this.underWay = true;
    void this.sendBatch(peer, batch).finally(() => {
      this.underWay = false;
      this.schedule();
    });
  }

  private waitForLeader(): void {
    const now = this.clock.steady();
    const waiting: PendingReport[] = [];
    for (const p of this.pending) {
      if (now < p.waitsUntil) waiting.push(p);
      else p.settle(undefined);
    }
    this.pending = waiting;
    if (waiting.length === 0) return;
    this.scheduled = true;
    this.clock.after(LEADER_POLL, () => this.flush());
  }

  private takeBatch(now: SteadyMs): PendingReport[] {
    const batch: PendingReport[] = [];
    let bytes = 0;
    let taken = 0;
    for (const p of this.pending) {
      if (now > p.abandonedAt) {
        p.settle(undefined);
      } else {
        const full = batch.length >= this.batchReports || bytes + p.bytes > MAX_BATCH_BYTES;
        if (batch.length > 0 && full) break;
        bytes += p.bytes;
        batch.push(p);
      }
      taken++;
    }
    this.pending = this.pending.slice(taken);
    return batch;
  }

  private async sendBatch(peer: Peer, batch: readonly PendingReport[]): Promise<void> {
    const { node, epoch } = this;
    const reports = batch.map((p) => this.relayed(p));
    const asked = this.clock.steady();
    const response = await peer.ask({ type: 'reports', node, epoch, reports }, BATCH_TIMEOUT);
    this.batchReports = nextBatchReports(this.batchReports, since(asked, this.clock.steady()));
    if (response?.type !== 'reportResponses' || response.responses.length !== batch.length) {
      for (const p of batch) p.settle(undefined);
      return;
    }
    if (response.epoch !== this.epoch) {
      this.baselines = new ExpiringMap(BASELINE_IDLE);
      this.epoch = response.epoch;
    }
    for (const [i, p] of batch.entries()) {
      const answer = response.responses[i];
      if (answer) this.settle(p, answer, response.epoch);
    }
  }

  private settle(p: PendingReport, answer: ReportResponse, epoch: number): void {
    const { report } = p;
    if (answer.outcome === 'baselineUnknown' && !p.full) {
      this.pending.push({ ...p, full: true });
      return;
    }
    if (answer.outcome === 'refused' && this.clock.steady() < p.waitsUntil) {
      this.pending.push(p);
      return;
    }
    if (answer.outcome !== 'accepted') {
      p.settle(undefined);
      return;
    }
    this.remember(report, answer.baseline);
    p.settle({ fencingToken: epoch, commands: answer.orders });
  }

  private remember(report: Heartbeat, baseline: number): void {
    if (baseline === 0) {
      this.baselines.delete(report.machine);
      return;
    }
    this.baselines.set(report.machine, { id: baseline, report }, this.clock.steady());
  }

  private relayed({ report, full }: PendingReport): RelayedReport {
    const baseline = full ? undefined : this.baselines.get(report.machine);
    if (!baseline || !showsTheSame(baseline.report, report)) return { kind: 'full', report };
    return {
      kind: 'unchanged',
      machine: report.machine,
      session: report.session,
      sequence: report.sequence,
      token: report.fencingToken,
      unchangedSince: baseline.id,
    };
  }
}

/** Halved where the leader is slow, and raised by half where it is fast. */
export function nextBatchReports(now: number, took: DurationMs): number {
  if (took > SLOW_RESPONSE) return Math.max(LEAST_BATCH_REPORTS, Math.floor(now / 2));
  if (took < FAST_RESPONSE) return Math.min(MOST_BATCH_REPORTS, Math.ceil(now * 1.5));
  return now;
}

/** Whether two reports of a machine differ in nothing but their sequence numbers and tokens. */
export function showsTheSame(a: Heartbeat, b: Heartbeat): boolean {
  return (
    a.session === b.session &&
    a.address === b.address &&
    // A notice counts down, so each report that shows one is news.
    (a.reclaimNoticeSeconds ?? null) === null &&
    (b.reclaimNoticeSeconds ?? null) === null &&
    a.tasks.length === b.tasks.length &&
    a.tasks.every((entry, i) => sameEntry(entry, b.tasks[i]))
  );
}

function sameEntry(a: TaskStatus, b: TaskStatus | undefined): boolean {
  return (
    b !== undefined &&
    a.task === b.task &&
    a.attempt === b.attempt &&
    a.state === b.state &&
    (a.exitReason ?? null) === (b.exitReason ?? null) &&
    (a.checkpointSaved ?? null) === (b.checkpointSaved ?? null)
  );
}
