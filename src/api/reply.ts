/** What a request over HTTP is answered with, and the answers that several handlers share. */

/** An answer, before it is encoded. */
export interface Reply {
  /** The status of HTTP. */
  readonly status: number;
  /** A buffer is CBOR already; anything else is encoded. Left out: an empty map. */
  readonly body?: unknown;
  /** Seconds after which to come back. */
  readonly retryAfter?: number;
  /** The connection is given up: over a new one another node may be reached. */
  readonly close?: boolean;
}

/** Not decided: the request may be repeated a second later. */
export const TRY_AGAIN: Reply = { status: 503, retryAfter: 1 };
/** This node is isolated; another one may serve the request. */
export const ISOLATED: Reply = { status: 503, retryAfter: 1, close: true };
/** No record holds the job, by an answer that is not older than the request. */
export const NO_SUCH_JOB: Reply = { status: 404, body: { error: 'no such job' } };
/** The path names nothing that this service has. */
export const NO_SUCH_PATH: Reply = { status: 404, body: { error: 'no such path' } };
/** The path is known, but not with this method. */
export const METHOD_NOT_ALLOWED: Reply = { status: 405 };
/** The body is longer than any message may be. */
export const BODY_TOO_LONG: Reply = { status: 400, body: { error: 'body over 64 KiB' } };
/** To a worker: its message is no heartbeat. */
export const NOT_A_HEARTBEAT: Reply = { status: 400, body: { error: 'not a report' } };
/** To a worker: this node may not answer heartbeats, now or at all. */
export const NOT_AUTHORISED: Reply = { status: 503 };
