/** The keys under which the state service holds the leader, the jobs and the notices. */
import { JobId } from '../units/index.js';

/** Names the leading node. The revision of its value is the leader's epoch. */
export const LEADER_KEY = 'leader';

/** What the keys of all live records begin with. */
export const LIVE_PREFIX = 'live/';
const FINAL_PREFIX = 'done/';

/** What the keys of all notices begin with. */
export const NOTICE_PREFIX = 'inbox/';
const CANCELLATION_SUFFIX = '/abort';

/** The key of a job's live record. */
export const liveKey = (id: JobId): string => `${LIVE_PREFIX}${id}`;

/** The key of the record that takes the place of the live one once the job is over. */
export const finalKey = (id: JobId): string => `${FINAL_PREFIX}${id}`;

/** The key of the notice that another node committed the job. */
export const creationNoticeKey = (id: JobId): string => `${NOTICE_PREFIX}${id}`;

/** The key of the notice that a user cancels the job. */
export const cancellationNoticeKey = (id: JobId): string =>
  `${creationNoticeKey(id)}${CANCELLATION_SUFFIX}`;

/** What a notice says. */
export interface NoticeContents {
  readonly id: JobId;
  /** The job is to be cancelled; otherwise another node has created it. */
  readonly isCancellation: boolean;
}

/** What the notice with this key says; its value is empty. */
export function parseNoticeKey(key: string): NoticeContents {
  const cancels = key.endsWith(CANCELLATION_SUFFIX);
  const end = cancels ? -CANCELLATION_SUFFIX.length : undefined;
  return { id: JobId(key.slice(NOTICE_PREFIX.length, end)), isCancellation: cancels };
}
