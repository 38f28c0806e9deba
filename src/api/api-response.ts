/** What a request over HTTP is answered with, and the answers that several handlers share. */

/** An answer, before it is encoded. */
export interface ApiResponse {
  /** The status of HTTP. */
  readonly status: number;
  /** A buffer is CBOR already; anything else is encoded. Left out: an empty map. */
  readonly body?: unknown;
  /** Seconds after which to come back. */
  readonly retryAfter?: number;
  /** The connection is given up: over a new one another node may be reached. */
  readonly shouldCloseConnection?: boolean;
}

/** Not decided: the request may be repeated a second later. */
export const TRY_AGAIN: ApiResponse = { status: 503, retryAfter: 1 };
/** This node is isolated; another one may serve the request. */
export const ISOLATED: ApiResponse = { status: 503, retryAfter: 1, shouldCloseConnection: true };
/** No record holds the job, by an answer that is not older than the request. */
export const NO_SUCH_JOB: ApiResponse = { status: 404, body: { error: 'no such job' } };
/** The path names nothing that this service has. */
export const NO_SUCH_PATH: ApiResponse = { status: 404, body: { error: 'no such path' } };
/** The path is known, but not with this method. */
export const METHOD_NOT_ALLOWED: ApiResponse = { status: 405 };
/** The body is longer than any message may be. */
export const BODY_TOO_LONG: ApiResponse = { status: 400, body: { error: 'body over 64 KiB' } };
/** To a worker: its message is no heartbeat. */
export const INVALID_HEARTBEAT: ApiResponse = { status: 400, body: { error: 'not a report' } };
/** To a worker: this node may not answer heartbeats, now or at all. */
export const CANNOT_ANSWER_HEARTBEAT: ApiResponse = { status: 503 };
