/**
 * How a follower passes workers' reports to the leader: in batches, and by reference where nothing but
 * the sequence number has changed, so that the leader spends little on each.
 */
import type { Peer } from '../peer/channel.js';
import type { RelayedHeartbeat, HeartbeatResponse } from '../peer/messages.js';
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
const INITIAL_BATCH_SIZE = 40;
const MIN_BATCH_SIZE = 10;
const MAX_BATCH_SIZE = 160;
const SLOW_RESPONSE = ms(1000);
const FAST_RESPONSE = ms(300);
/** Nobody waits any more for the answer to a report that came longer ago: workers give up after 4 s. */
const ABANDONED_AFTER = ms(3500);
/** Baselines of machines that went elsewhere are dropped after a while. */
const BASELINE_TTL = ms(30_000);

/** The report that the leader took last from a machine through this node. */
interface Baseline {
  readonly id: number;
  readonly heartbeat: Heartbeat;
}

interface PendingHeartbeat {
  readonly heartbeat: Heartbeat;
  readonly bytes: number;
  /** Until when it waits for a leader that may answer it. */
  readonly waitsUntil: SteadyMs;
  readonly abandonedAt: SteadyMs;
  /** Sent in full, whatever the leader may know. */
  readonly sendFull: boolean;
  readonly resolve: (reply: HeartbeatReply | undefined) => void;
}

export class HeartbeatRelay {
  private pending: PendingHeartbeat[] = [];
  private baselines = new ExpiringMap<string, Baseline>(BASELINE_TTL);
  /** The epoch under which the baselines were given. */
  private epoch = 0;
  private scheduled = false;
  private batchInFlight = false;
  private batchSize = INITIAL_BATCH_SIZE;
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
      this.pending.push({
        heartbeat: report,
        bytes,
        waitsUntil,
        abandonedAt,
        sendFull: false,
        resolve: settle,
      });
      this.schedule();
    });
  }

  /** One batch is under way at a time: a leader that has much to do gets fewer and fuller ones. */
  private schedule(): void {
    if (this.scheduled || this.batchInFlight || this.pending.length === 0) return;
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
    this.batchInFlight = true;
    void this.sendBatch(peer, batch).finally(() => {
      this.batchInFlight = false;
      this.schedule();
    });
  }

  private waitForLeader(): void {
    const now = this.clock.steady();
    const waiting: PendingHeartbeat[] = [];
    for (const p of this.pending) {
      if (now < p.waitsUntil) waiting.push(p);
      else p.resolve(undefined);
    }
    this.pending = waiting;
    if (waiting.length === 0) return;
    this.scheduled = true;
    this.clock.after(LEADER_POLL, () => this.flush());
  }

  private takeBatch(now: SteadyMs): PendingHeartbeat[] {
    const batch: PendingHeartbeat[] = [];
    let bytes = 0;
    let taken = 0;
    for (const p of this.pending) {
      if (now > p.abandonedAt) {
        p.resolve(undefined);
      } else {
        const full = batch.length >= this.batchSize || bytes + p.bytes > MAX_BATCH_BYTES;
        if (batch.length > 0 && full) break;
        bytes += p.bytes;
        batch.push(p);
      }
      taken++;
    }
    this.pending = this.pending.slice(taken);
    return batch;
  }

  private async sendBatch(peer: Peer, batch: readonly PendingHeartbeat[]): Promise<void> {
    const { node, epoch } = this;
    const heartbeats = batch.map((p) => this.relayed(p));
    const asked = this.clock.steady();
    const response = await peer.request(
      { type: 'workerHeartbeats', node, epoch, heartbeats },
      BATCH_TIMEOUT,
    );
    this.batchSize = nextBatchSize(this.batchSize, since(asked, this.clock.steady()));
    if (response?.type !== 'heartbeatResponses' || response.responses.length !== batch.length) {
      for (const p of batch) p.resolve(undefined);
      return;
    }
    if (response.epoch !== this.epoch) {
      this.baselines = new ExpiringMap(BASELINE_TTL);
      this.epoch = response.epoch;
    }
    for (const [i, p] of batch.entries()) {
      const answer = response.responses[i];
      if (answer) this.settle(p, answer, response.epoch);
    }
  }

  private settle(p: PendingHeartbeat, answer: HeartbeatResponse, epoch: number): void {
    const { heartbeat: report } = p;
    if (answer.outcome === 'baselineUnknown' && !p.sendFull) {
      this.pending.push({ ...p, sendFull: true });
      return;
    }
    if (answer.outcome === 'refused' && this.clock.steady() < p.waitsUntil) {
      this.pending.push(p);
      return;
    }
    if (answer.outcome !== 'accepted') {
      p.resolve(undefined);
      return;
    }
    this.rememberBaseline(report, answer.baseline);
    p.resolve({ fencingToken: epoch, commands: answer.commands });
  }

  private rememberBaseline(report: Heartbeat, baseline: number): void {
    if (baseline === 0) {
      this.baselines.delete(report.machine);
      return;
    }
    this.baselines.set(report.machine, { id: baseline, heartbeat: report }, this.clock.steady());
  }

  private relayed({ heartbeat: report, sendFull: full }: PendingHeartbeat): RelayedHeartbeat {
    const baseline = full ? undefined : this.baselines.get(report.machine);
    if (!baseline || !isUnchanged(baseline.heartbeat, report))
      return { kind: 'full', heartbeat: report };
    return {
      kind: 'unchanged',
      machine: report.machine,
      session: report.session,
      sequence: report.sequence,
      fencingToken: report.fencingToken,
      unchangedSince: baseline.id,
    };
  }
}

/** Halved where the leader is slow, and raised by half where it is fast. */
export function nextBatchSize(now: number, took: DurationMs): number {
  if (took > SLOW_RESPONSE) return Math.max(MIN_BATCH_SIZE, Math.floor(now / 2));
  if (took < FAST_RESPONSE) return Math.min(MAX_BATCH_SIZE, Math.ceil(now * 1.5));
  return now;
}

/** Whether two reports of a machine differ in nothing but their sequence numbers and tokens. */
export function isUnchanged(a: Heartbeat, b: Heartbeat): boolean {
  return (
    a.session === b.session &&
    a.address === b.address &&
    // A notice counts down, so each report that shows one is news.
    (a.reclaimNoticeSeconds ?? null) === null &&
    (b.reclaimNoticeSeconds ?? null) === null &&
    a.tasks.length === b.tasks.length &&
    a.tasks.every((entry, i) => isSameTaskStatus(entry, b.tasks[i]))
  );
}

function isSameTaskStatus(a: TaskStatus, b: TaskStatus | undefined): boolean {
  return (
    b !== undefined &&
    a.task === b.task &&
    a.attempt === b.attempt &&
    a.state === b.state &&
    (a.exitReason ?? null) === (b.exitReason ?? null) &&
    (a.checkpointSaved ?? null) === (b.checkpointSaved ?? null)
  );
}
