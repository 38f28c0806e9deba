/** What a request over HTTP is answered with. */
export interface Reply {
  readonly status: number;
  /** A buffer is CBOR already. */
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
export const NO_SUCH_JOB: Reply = { status: 404, body: { error: 'no such job' } };
export const METHOD_NOT_ALLOWED: Reply = { status: 405 };
/** To a worker: this node may not answer reports, now or at all. */
export const NOT_AUTHORISED: Reply = { status: 503 };
