/** Proves that an attempt of a task is not on its machine and can no longer be started there. */
import type { Epoch } from '../units/index.js';
import { TaskState } from '../wire/index.js';
import type { DirectStarts } from './direct-starts.js';
import type { MessageOrder, StatusSource, WorkerStatus } from './worker-status.js';

/** How the start command of an attempt was sent. `Placement` satisfies this interface. */
export interface StartRecord {
  /** An earlier leader placed the attempt and may have sent a direct start command without recording it. */
  readonly isInherited: boolean;
  /** The heartbeat whose response last carried the start command; undefined if none did. */
  readonly startSentInResponseTo?: MessageOrder;
}

/** What the leader knows about one attempt and its machine. */
export interface AbsenceEvidence {
  /** The machine's newest status. */
  readonly status: WorkerStatus;
  readonly source: StatusSource;
  /** The key of the attempt (`attemptKey`). */
  readonly attempt: string;
  readonly start: StartRecord;
  /** The direct start commands to this machine. */
  readonly directStarts: Pick<DirectStarts, 'isExecutableUnder'>;
  /** The current leader's epoch. A worker that has seen it refuses start commands of earlier leaders. */
  readonly epoch: Epoch;
}

/**
 * Whether the evidence proves that the attempt is not running and will not run. A worker processes the response
 * to a heartbeat before it sends the next heartbeat, or never. A start command that was sent in the response to
 * an earlier heartbeat is therefore no longer in flight when a later heartbeat arrives. A response to direct
 * commands proves this only if it belongs to a later session, since it may overtake the response to a heartbeat.
 * If no response carried the start command, a status from either source is proof. A direct start command may arrive at
 * any time, again and again, until the worker has seen a higher fencing token.
 */
export function isProvenAbsent({
  status,
  source,
  attempt,
  start,
  directStarts,
  epoch,
}: AbsenceEvidence): boolean {
  const reported = status.byAttempt.get(attempt);
  if (reported && reported.state !== TaskState.exited) return false;
  // A start command has no effect while the worker knows the attempt.
  if (!reported && directStarts.isExecutableUnder(status.fencingToken, attempt)) return false;
  if (start.isInherited && status.fencingToken < epoch) return false;
  const { startSentInResponseTo } = start;
  if (!startSentInResponseTo || status.session > startSentInResponseTo.session) return true;
  return source === 'heartbeat' && status.sequence > startSentInResponseTo.sequence;
}
