/** Batches of heartbeats: which go in one, and how many. */
import type { SteadyMs, DurationMs } from '../units/index.js';
import { ms } from '../units/index.js';
import type { Heartbeat, HeartbeatReply } from '../wire/index.js';

/** Heartbeats and the commands in their responses must fit a frame of the channel between controllers. */
const MAX_BATCH_BYTES = 40 * 1024;
/**
 * How many heartbeats go in one batch depends on how long the leader took for the last one: a batch that takes
 * longer than its workers wait is lost as a whole, and all of them turn to another node.
 */
export const INITIAL_BATCH_SIZE = 40;
const MIN_BATCH_SIZE = 10;
const MAX_BATCH_SIZE = 160;
const SLOW_RESPONSE = ms(1000);
const FAST_RESPONSE = ms(300);

/** A heartbeat that waits for the leader's reply. */
export interface PendingHeartbeat {
  readonly heartbeat: Heartbeat;
  /** The size of the message that it came in. */
  readonly sizeBytes: number;
  /** Until when it waits for a leader that may answer it. */
  readonly leaderWaitDeadline: SteadyMs;
  /** When its worker has given up waiting. */
  readonly workerDeadline: SteadyMs;
  /** It must be sent in full, since the leader does not know its baseline. */
  readonly shouldSendFull: boolean;
  /** Called once, with undefined if there is no reply. */
  readonly resolve: (reply: HeartbeatReply | undefined) => void;
}

/**
 * Divides what is pending into the next batch, of at most `maxSize` heartbeats but at least one, and the rest.
 * Abandoned heartbeats that stand before the end of the batch are resolved without a reply.
 */
export function takeBatch(
  pending: readonly PendingHeartbeat[],
  maxSize: number,
  now: SteadyMs,
): { readonly batch: PendingHeartbeat[]; readonly rest: PendingHeartbeat[] } {
  const batch: PendingHeartbeat[] = [];
  let bytes = 0;
  let taken = 0;
  for (const next of pending) {
    if (now > next.workerDeadline) {
      next.resolve(undefined);
    } else {
      const isFull = batch.length >= maxSize || bytes + next.sizeBytes > MAX_BATCH_BYTES;
      if (batch.length > 0 && isFull) break;
      bytes += next.sizeBytes;
      batch.push(next);
    }
    taken++;
  }
  return { batch, rest: pending.slice(taken) };
}

/** The size of the next batch: halved where the leader is slow, and raised by half where it is fast. */
export function nextBatchSize(size: number, responseTime: DurationMs): number {
  if (responseTime > SLOW_RESPONSE) return Math.max(MIN_BATCH_SIZE, Math.floor(size / 2));
  if (responseTime < FAST_RESPONSE) return Math.min(MAX_BATCH_SIZE, Math.ceil(size * 1.5));
  return size;
}
