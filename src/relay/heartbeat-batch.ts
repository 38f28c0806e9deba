/** Selects the heartbeats for a batch and adapts the batch size. */
import type { SteadyMs, DurationMs } from '../units/index.js';
import { ms } from '../units/index.js';
import type { Heartbeat, WorkerHeartbeatResponse } from '../wire/index.js';

/** A batch, and the commands in the response to it, must fit a frame of the connection between controllers. */
const MAX_BATCH_BYTES = 40 * 1024;
/**
 * The number of heartbeats in a batch depends on how long the leader took to respond to the previous batch. If a
 * batch takes longer than its workers wait, all of its responses are lost and all of these workers switch to another
 * controller.
 */
export const INITIAL_BATCH_SIZE = 40;
const MIN_BATCH_SIZE = 10;
const MAX_BATCH_SIZE = 160;
const SLOW_RESPONSE_TIME = ms(1000);
const FAST_RESPONSE_TIME = ms(300);

/** A heartbeat that waits for the leader's response. */
export interface PendingHeartbeat {
  readonly heartbeat: Heartbeat;
  readonly arrivedAt: SteadyMs;
  /** The size of the worker's message. */
  readonly sizeBytes: number;
  /** Until when it waits for a leader with the authority to respond. */
  readonly leaderWaitDeadline: SteadyMs;
  /** The time after which its worker no longer waits for the response. */
  readonly workerDeadline: SteadyMs;
  /** Whether it must be sent in full, since the leader does not know its baseline. */
  readonly shouldSendFull: boolean;
  /** Called once, with undefined if there is no response. */
  readonly resolve: (response: WorkerHeartbeatResponse | undefined) => void;
}

/**
 * Splits the pending heartbeats into the next batch, of at least one and at most `maxSize`, and the rest.
 * Heartbeats before the end of the batch whose worker no longer waits are resolved without a response.
 */
export function takeBatch(
  pending: readonly PendingHeartbeat[],
  maxSize: number,
  now: SteadyMs,
): { readonly batch: PendingHeartbeat[]; readonly rest: PendingHeartbeat[] } {
  const batch: PendingHeartbeat[] = [];
  let batchBytes = 0;
  let takenCount = 0;
  for (const next of pending) {
    if (now > next.workerDeadline) {
      next.resolve(undefined);
    } else {
      const isFull = batch.length >= maxSize || batchBytes + next.sizeBytes > MAX_BATCH_BYTES;
      if (batch.length > 0 && isFull) break;
      batchBytes += next.sizeBytes;
      batch.push(next);
    }
    takenCount++;
  }
  return { batch, rest: pending.slice(takenCount) };
}

/** The size of the next batch: halved if the leader responded slowly, increased by half if it responded fast. */
export function nextBatchSize(size: number, responseTime: DurationMs): number {
  if (responseTime > SLOW_RESPONSE_TIME) return Math.max(MIN_BATCH_SIZE, Math.floor(size / 2));
  if (responseTime < FAST_RESPONSE_TIME) return Math.min(MAX_BATCH_SIZE, Math.ceil(size * 1.5));
  return size;
}
