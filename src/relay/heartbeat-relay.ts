/**
 * How a follower passes workers' heartbeats on to the leader: in batches, and by reference where nothing but the
 * sequence number has changed, so that the leader spends little on each.
 */
import type { Logger } from 'pino';
import type { Peer } from '../peer/peer.js';
import type { HeartbeatResponse } from '../peer/messages.js';
import { detach } from '../units/detach.js';
import {
  later,
  ms,
  durationBetween,
  type Clock,
  type NodeId,
  type SteadyMs,
} from '../units/index.js';
import type { Heartbeat, HeartbeatReply } from '../wire/index.js';
import { Baselines } from './baselines.js';
import {
  INITIAL_BATCH_SIZE,
  nextBatchSize,
  takeBatch,
  type PendingHeartbeat,
} from './heartbeat-batch.js';

/** Heartbeats that arrive within this time go in one batch; the first after a pause goes at once. */
const BATCH_WINDOW = ms(100);
/** Less than the 4 s after which a worker gives up waiting. */
const BATCH_TIMEOUT = ms(2500);
/**
 * How long a heartbeat waits for a leader that may answer it. One that takes over within this time does so, and
 * the worker need not look for it from node to node.
 */
const MAX_LEADER_WAIT = ms(1500);
const LEADER_POLL_INTERVAL = ms(100);
/** Heartbeats older than this are not sent: their workers, who give up after 4 s, would not see the replies. */
const ABANDONED_AFTER = ms(3500);

/** What a `HeartbeatRelay` works with. */
export interface HeartbeatRelayOptions {
  /** The node that the workers report to. */
  readonly controllerId: NodeId;
  readonly clock: Clock;
  readonly log: Logger;
  /** The way to the leader; undefined if none is known or it does not respond. */
  readonly leaderPeer: () => Peer | undefined;
}

/** The heartbeats that wait at a follower, and the way of each to the leader. */
export class HeartbeatRelay {
  private readonly baselines = new Baselines();
  private pending: PendingHeartbeat[] = [];
  private isFlushScheduled = false;
  private isBatchInFlight = false;
  private batchSize = INITIAL_BATCH_SIZE;
  private lastSentAt: SteadyMs | undefined;

  constructor(private readonly options: HeartbeatRelayOptions) {}

  /**
   * The leader's reply to a heartbeat; undefined if there was none in time. `bytes`: the size of the message that
   * the heartbeat came in.
   */
  send(heartbeat: Heartbeat, bytes: number): Promise<HeartbeatReply | undefined> {
    const now = this.options.clock.steady();
    return new Promise((resolve) => {
      this.pending.push({
        heartbeat,
        sizeBytes: bytes,
        leaderWaitDeadline: later(now, MAX_LEADER_WAIT),
        workerDeadline: later(now, ABANDONED_AFTER),
        shouldSendFull: false,
        resolve,
      });
      this.scheduleFlush();
    });
  }

  /** One batch is in flight at a time: a leader that has much to do gets fewer and fuller ones. */
  private scheduleFlush(): void {
    if (this.isFlushScheduled || this.isBatchInFlight || this.pending.length === 0) return;
    this.isFlushScheduled = true;
    const { clock } = this.options;
    const now = clock.steady();
    const pause =
      this.lastSentAt === undefined ? 0 : BATCH_WINDOW - durationBetween(this.lastSentAt, now);
    clock.after(ms(Math.max(0, pause)), () => this.flush());
  }

  private flush(): void {
    this.isFlushScheduled = false;
    const { clock, log, leaderPeer } = this.options;
    const peer = leaderPeer();
    if (!peer) {
      this.waitForLeader();
      return;
    }
    this.lastSentAt = clock.steady();
    const { batch, rest } = takeBatch(this.pending, this.batchSize, this.lastSentAt);
    this.pending = rest;
    if (batch.length === 0) return;
    this.isBatchInFlight = true;
    const sent = this.sendBatch(peer, batch).finally(() => {
      this.isBatchInFlight = false;
      this.scheduleFlush();
    });
    detach(sent, log, 'batch of heartbeats');
  }

  private waitForLeader(): void {
    const { clock } = this.options;
    const now = clock.steady();
    const waiting: PendingHeartbeat[] = [];
    for (const pending of this.pending) {
      if (now < pending.leaderWaitDeadline) waiting.push(pending);
      else pending.resolve(undefined);
    }
    this.pending = waiting;
    if (waiting.length === 0) return;
    this.isFlushScheduled = true;
    clock.after(LEADER_POLL_INTERVAL, () => this.flush());
  }

  private async sendBatch(peer: Peer, batch: readonly PendingHeartbeat[]): Promise<void> {
    const { controllerId, clock } = this.options;
    const { epoch } = this.baselines;
    const heartbeats = batch.map(({ heartbeat, shouldSendFull }) =>
      shouldSendFull
        ? { kind: 'full' as const, heartbeat }
        : this.baselines.toRelayedHeartbeat(heartbeat),
    );
    const sentAt = clock.steady();
    const response = await peer.sendRequest(
      { type: 'workerHeartbeats', node: controllerId, epoch, heartbeats },
      BATCH_TIMEOUT,
    );
    this.batchSize = nextBatchSize(this.batchSize, durationBetween(sentAt, clock.steady()));
    if (response?.type !== 'heartbeatResponses' || response.responses.length !== batch.length) {
      for (const pending of batch) pending.resolve(undefined);
      return;
    }
    this.baselines.switchToEpoch(response.epoch);
    for (const [i, pending] of batch.entries()) {
      const answer = response.responses[i];
      if (answer) this.settle(pending, answer, response.epoch);
    }
  }

  private settle(pending: PendingHeartbeat, response: HeartbeatResponse, epoch: number): void {
    const { outcome, baseline, commands } = response;
    const now = this.options.clock.steady();
    if (outcome === 'baselineUnknown' && !pending.shouldSendFull) {
      this.pending.push({ ...pending, shouldSendFull: true });
    } else if (outcome === 'refused' && now < pending.leaderWaitDeadline) {
      this.pending.push(pending);
    } else if (outcome === 'accepted') {
      this.baselines.recordAccepted(pending.heartbeat, baseline, now);
      pending.resolve({ fencingToken: epoch, commands });
    } else {
      pending.resolve(undefined);
    }
  }
}
