/** Proof that an attempt of a task is not on its machine and can't be started there any more. */
import type { Epoch } from '../units/index.js';
import { TaskState } from '../wire/index.js';
import type { MessageOrder, StatusSource, WorkerStatus } from './worker-status.js';

/** How the start of an attempt was sent. A `Placement` is one. */
export interface StartRecord {
  /** Placed by an earlier leader, which may have pushed the start without recording that. */
  readonly isInherited: boolean;
  /** The heartbeat whose reply last carried the start; undefined if none did. */
  readonly startSentInResponseTo?: MessageOrder;
}

/** What is known of one attempt and of its machine. */
export interface AbsenceEvidence {
  /** The machine's newest status. */
  readonly status: WorkerStatus;
  readonly source: StatusSource;
  /** The attempt, as made by `attemptKey`. */
  readonly attempt: string;
  readonly start: StartRecord;
  /** Attempts on this machine whose start was pushed without a reply: it may be delivered at any time. */
  readonly unacknowledgedStarts: ReadonlySet<string>;
  /** The current leader's epoch. A worker that has seen it refuses the starts of earlier leaders. */
  readonly epoch: Epoch;
}

/**
 * Whether the evidence proves that the attempt is not running and will not run. A worker processes the reply
 * to a heartbeat before it sends the next one, or never; so a start that was sent in reply to an earlier
 * heartbeat is no longer in flight when a later heartbeat arrives. A reply to pushed commands proves that only
 * if it belongs to a later session, since it may overtake the reply to a heartbeat. Where no reply carried the
 * start, either kind of status is proof.
 */
export function isProvenAbsent({
  status,
  source,
  attempt,
  start,
  unacknowledgedStarts,
  epoch,
}: AbsenceEvidence): boolean {
  const reported = status.byAttempt.get(attempt);
  if (reported && reported.state !== TaskState.exited) return false;
  if (unacknowledgedStarts.has(attempt)) return false;
  if (start.isInherited && status.fencingToken < epoch) return false;
  const { startSentInResponseTo } = start;
  if (!startSentInResponseTo || status.session > startSentInResponseTo.session) return true;
  return source === 'heartbeat' && status.sequence > startSentInResponseTo.sequence;
}
