/** The status of a machine as its worker sends it, and the order of a worker's messages. */
import { ms, type DurationMs } from '../units/index.js';
import type { Heartbeat, TaskStatus } from '../wire/index.js';

/** Orders the messages of one worker: by session, then by sequence number. */
export interface MessageOrder {
  readonly session: number;
  readonly sequence: number;
}

/** The status of a machine, from a heartbeat or from a worker's response to direct commands. */
export interface WorkerStatus extends MessageOrder {
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: number;
  /** How long until the cloud reclaims the machine; undefined without a reclaim notice. */
  readonly reclaimNotice: DurationMs | undefined;
  readonly tasks: readonly TaskStatus[];
  /** The same tasks by `attemptKey`, for lookups without a scan. */
  readonly byAttempt: ReadonlyMap<string, TaskStatus>;
  /** The number by which a follower refers to this status; undefined if no follower relayed it. */
  readonly baseline?: number;
}

/**
 * How a status reached the leader. The response to direct commands may overtake the response to a heartbeat, so
 * only a heartbeat proves that the responses to earlier heartbeats have been processed or lost.
 */
export type StatusSource = 'heartbeat' | 'commandResponse';

/** Identifies one attempt of a task among all attempts on a machine. */
export const attemptKey = (task: string, attempt: number): string => `${task}#${attempt}`;

/** The status that a heartbeat carries. */
export const toWorkerStatus = (
  heartbeat: Pick<
    Heartbeat,
    'session' | 'sequence' | 'fencingToken' | 'reclaimNoticeSeconds' | 'tasks'
  >,
): WorkerStatus => ({
  session: heartbeat.session,
  sequence: heartbeat.sequence,
  fencingToken: heartbeat.fencingToken,
  reclaimNotice:
    heartbeat.reclaimNoticeSeconds === null || heartbeat.reclaimNoticeSeconds === undefined
      ? undefined
      : ms(heartbeat.reclaimNoticeSeconds * 1000),
  tasks: heartbeat.tasks,
  byAttempt: new Map(
    heartbeat.tasks.map((status) => [attemptKey(status.task, status.attempt), status]),
  ),
});

/** Whether a worker created `message` after `other`. */
export function isAfter(message: MessageOrder, other: MessageOrder): boolean {
  return (
    message.session > other.session ||
    (message.session === other.session && message.sequence > other.sequence)
  );
}
