/** The keys under which the state service holds the leader, the jobs and the notices. */
import { JobId } from '../units/index.js';

/** Names the leading node. The revision of its value is the leader's epoch. */
export const LEADER_KEY = 'leader';

/** What the keys of all live records begin with. */
export const LIVE_PREFIX = 'live/';
const FINAL_PREFIX = 'done/';

/** What the keys of all notices begin with. */
export const INBOX_PREFIX = 'inbox/';
const CANCELLATION_SUFFIX = '/abort';

/** The key of a job's live record. */
export const liveKey = (id: JobId): string => `${LIVE_PREFIX}${id}`;

/** The key of the record that takes the place of the live one once the job is over. */
export const finalKey = (id: JobId): string => `${FINAL_PREFIX}${id}`;

/** The key of the notice that another node committed the job. */
export const creationInboxKey = (id: JobId): string => `${INBOX_PREFIX}${id}`;

/** The key of the notice that a user cancels the job. */
export const cancellationInboxKey = (id: JobId): string =>
  `${creationInboxKey(id)}${CANCELLATION_SUFFIX}`;

/** What a notice says. */
export interface InboxEntryContents {
  readonly id: JobId;
  /** The job is to be cancelled; otherwise another node has created it. */
  readonly isCancellation: boolean;
}

/** What the notice with this key says; its value is empty. */
export function parseInboxKey(key: string): InboxEntryContents {
  const isCancellation = key.endsWith(CANCELLATION_SUFFIX);
  const end = isCancellation ? -CANCELLATION_SUFFIX.length : undefined;
  return { id: JobId(key.slice(INBOX_PREFIX.length, end)), isCancellation };
}
