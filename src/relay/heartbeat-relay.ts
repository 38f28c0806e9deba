/**
 * Relays workers' heartbeats from a follower to the leader. Heartbeats are sent in batches, and by reference if only
 * the sequence number and fencing token have changed, to keep the leader's cost per heartbeat low.
 */
import type { Logger } from 'pino';
import type { Peer } from '../peer/peer.js';
import type {
  FencedHeartbeatResponse,
  FencedHeartbeatResponses,
  PeerResponse,
} from '../peer/messages.js';
import { runInBackground } from '../units/run-in-background.js';
import {
  addDuration,
  ms,
  durationBetween,
  type Clock,
  SteadyMs,
  type ControllerId,
  type Timer,
} from '../units/index.js';
import type { Heartbeat, WorkerHeartbeatResponse } from '../wire/index.js';
import { Baselines } from './baselines.js';
import {
  INITIAL_BATCH_SIZE,
  nextBatchSize,
  takeBatch,
  type PendingHeartbeat,
} from './heartbeat-batch.js';

/** Heartbeats that arrive within this time go into one batch; the first one after an idle period is sent at once. */
const BATCH_WINDOW = ms(100);
/**
 * A further batch is sent while others are in flight only once a heartbeat has waited for this long: a leader under high
 * load otherwise gets fewer but larger batches.
 */
const MAX_BATCH_WAIT = ms(500);
const MAX_BATCHES_IN_FLIGHT = 8;
/** How long a batch waits for its responses: less than the 4 s after which a worker stops waiting. */
export const BATCH_TIMEOUT = ms(2500);
/**
 * How long a heartbeat waits for a leader with the authority to respond. If a new leader is elected within this
 * time, it responds, and the worker need not try one controller after another to find it.
 */
const MAX_LEADER_WAIT = ms(1500);
const LEADER_POLL_INTERVAL = ms(100);
/** Heartbeats older than this are not sent: workers stop waiting after 4 s and would not receive the responses. */
const MAX_HEARTBEAT_AGE = ms(3500);

/** The parts of the controller that a `HeartbeatRelay` depends on. */
export interface HeartbeatRelayOptions {
  /** The id of this controller, which the workers send their heartbeats to. */
  readonly controllerId: ControllerId;
  readonly clock: Clock;
  readonly log: Logger;
  /** The peer that leads; undefined if no leader is known or it is unresponsive. */
  readonly leaderPeer: () => Peer | undefined;
}

/** Queues heartbeats at a follower and sends them to the leader in batches. */
export class HeartbeatRelay {
  private readonly baselines = new Baselines();
  private pending: PendingHeartbeat[] = [];
  private isFlushScheduled = false;
  private isWaitingForLeader = false;
  private flushTimer: Timer | undefined;
  private batchesInFlight = 0;
  private batchSize = INITIAL_BATCH_SIZE;
  private lastSentAt: SteadyMs | undefined;

  constructor(private readonly options: HeartbeatRelayOptions) {}

  /**
   * Returns the leader's response to a heartbeat; undefined if there was none in time. `sizeBytes` is the size of the
   * worker's message.
   */
  send(heartbeat: Heartbeat, sizeBytes: number): Promise<WorkerHeartbeatResponse | undefined> {
    const now = this.options.clock.steady();
    return new Promise((resolve) => {
      this.pending.push({
        heartbeat,
        arrivedAt: now,
        sizeBytes,
        leaderWaitDeadline: addDuration(now, MAX_LEADER_WAIT),
        workerDeadline: addDuration(now, MAX_HEARTBEAT_AGE),
        shouldSendFull: false,
        resolve,
      });
      this.scheduleFlush();
    });
  }

  private scheduleFlush(): void {
    const [oldest] = this.pending;
    if (this.isFlushScheduled || !oldest || this.batchesInFlight >= MAX_BATCHES_IN_FLIGHT) return;
    this.isFlushScheduled = true;
    const { clock } = this.options;
    const now = clock.steady();
    const windowEnd =
      this.lastSentAt === undefined ? now : addDuration(this.lastSentAt, BATCH_WINDOW);
    const waitEnd =
      this.batchesInFlight === 0 ? now : addDuration(oldest.arrivedAt, MAX_BATCH_WAIT);
    const delay = durationBetween(now, SteadyMs(Math.max(now, windowEnd, waitEnd)));
    this.flushTimer = clock.after(delay, () => this.flush());
  }

  /** Lets the next batch go as early as it may now that one is no longer in flight. */
  private rescheduleFlush(): void {
    if (this.isWaitingForLeader) return;
    this.flushTimer?.cancel();
    this.isFlushScheduled = false;
    this.scheduleFlush();
  }

  private flush(): void {
    this.isFlushScheduled = false;
    this.isWaitingForLeader = false;
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
    this.batchesInFlight++;
    const sent = this.sendBatch(peer, batch).finally(() => {
      this.batchesInFlight--;
      this.rescheduleFlush();
    });
    runInBackground(sent, log, 'relaying a batch of heartbeats to the leader');
    this.scheduleFlush();
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
    this.isWaitingForLeader = true;
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
      { type: 'workerHeartbeats', node: controllerId, epoch, heartbeats, readsFencingTokens: true },
      BATCH_TIMEOUT,
    );
    this.batchSize = nextBatchSize(this.batchSize, durationBetween(sentAt, clock.steady()));
    const fenced = toFencedResponses(response);
    if (fenced?.responses.length !== batch.length) {
      for (const pending of batch) pending.resolve(undefined);
      return;
    }
    this.baselines.switchToEpoch(fenced.epoch);
    for (const [i, pending] of batch.entries()) {
      const heartbeatResponse = fenced.responses[i];
      if (heartbeatResponse) this.handleResponse(pending, heartbeatResponse);
    }
  }

  private handleResponse(pending: PendingHeartbeat, response: FencedHeartbeatResponse): void {
    const { outcome, baseline, commands, fencingToken } = response;
    const now = this.options.clock.steady();
    if (outcome === 'baselineUnknown' && !pending.shouldSendFull) {
      this.pending.push({ ...pending, shouldSendFull: true });
    } else if (outcome === 'refused' && now < pending.leaderWaitDeadline) {
      this.pending.push(pending);
    } else if (outcome === 'accepted') {
      this.baselines.recordAccepted(pending.heartbeat, baseline, now);
      pending.resolve({ fencingToken, commands });
    } else {
      pending.resolve(undefined);
    }
  }
}

/** The responses with the fencing token of each; undefined if it is not a response to a batch of heartbeats. */
function toFencedResponses(
  response: PeerResponse | undefined,
): Pick<FencedHeartbeatResponses, 'epoch' | 'responses'> | undefined {
  switch (response?.type) {
    case 'fencedHeartbeatResponses':
      return response;
    case 'heartbeatResponses': {
      const { epoch, responses } = response;
      return { epoch, responses: responses.map((each) => ({ ...each, fencingToken: epoch })) };
    }
    default:
      return undefined;
  }
}
