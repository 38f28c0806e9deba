/** The keys of the leader, the jobs and the inbox entries in the state store. */
import { JobId } from '../units/index.js';

/** The key whose value names the leader. The revision of that value is the leader's epoch. */
export const LEADER_KEY = 'leader';

/** The prefix of the keys of live records. */
export const LIVE_PREFIX = 'live/';
const FINAL_PREFIX = 'done/';

/** The prefix of the keys of inbox entries. */
export const INBOX_PREFIX = 'inbox/';
const CANCELLATION_SUFFIX = '/abort';

/** The key of a job's live record. */
export const liveKey = (id: JobId): string => `${LIVE_PREFIX}${id}`;

/** The key of a job's final record, which replaces the live one once the job is finished. */
export const finalKey = (id: JobId): string => `${FINAL_PREFIX}${id}`;

/** The key of the inbox entry with which another controller informs the leader that it created the job. */
export const creationInboxKey = (id: JobId): string => `${INBOX_PREFIX}${id}`;

/** The key of the inbox entry that requests the cancellation of the job from the leader. */
export const cancellationInboxKey = (id: JobId): string =>
  `${creationInboxKey(id)}${CANCELLATION_SUFFIX}`;

/** The contents of an inbox entry. */
export interface InboxEntryContents {
  readonly id: JobId;
  /** Whether the job is to be cancelled; otherwise another controller has created it. */
  readonly isCancellation: boolean;
}

/** The contents of the inbox entry with this key. They are all in the key; the value is empty. */
export function parseInboxKey(key: string): InboxEntryContents {
  const isCancellation = key.endsWith(CANCELLATION_SUFFIX);
  const idEnd = isCancellation ? -CANCELLATION_SUFFIX.length : undefined;
  return { id: JobId(key.slice(INBOX_PREFIX.length, idEnd)), isCancellation };
}
