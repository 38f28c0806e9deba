/** The response to an HTTP request, and the responses that several handlers share. */

/** Why a request got no definite response and has to be repeated. */
export type RefusalReason =
  /** This controller alone is cut off from the store and its peers. */
  | 'isolated'
  /** No leader is known yet. */
  | 'noLeader'
  /** A peer relayed the request to this controller, which does not lead or still reads the records. */
  | 'notReady'
  /** The authority of this controller's term ended while it handled the request. */
  | 'authorityLost'
  /** The leader does not know the state, for example because a write is in flight or its outcome is unknown. */
  | 'stateUncertain'
  /** The job's creation is not committed. */
  | 'notCommitted'
  /** The store did not respond to a read or a write, or the rate budget refused it. */
  | 'storeUnavailable'
  /** The store responded so late that the state may be out of date. */
  | 'storeLate'
  /** Another controller has told what contradicts the answer since that was determined. */
  | 'outdated'
  /** Too many other requests were waiting for a response, here or from the leader. */
  | 'overloaded'
  /** The client closed the connection before its request was handled. */
  | 'clientLeft'
  /** The result of the request could not be determined in time. */
  | 'deadlineExceeded'
  /** Handling the request failed with an error. */
  | 'internalError';

/** An HTTP response before its body is encoded. */
export interface ApiResponse {
  /** The HTTP status code. */
  readonly status: number;
  /** A buffer already holds CBOR; any other value is encoded. If absent, the body is an empty map. */
  readonly body?: unknown;
  /** Seconds after which the client should retry. */
  readonly retryAfter?: number;
  /** Closes the connection, so that a new one may reach another controller. */
  readonly shouldCloseConnection?: boolean;
  /** Why the request was refused; for the log and the metrics only, it is not sent. */
  readonly refusal?: RefusalReason;
}

/** The request failed or its outcome is unknown: the client may repeat it a second later. */
export const serviceUnavailable = (refusal: RefusalReason): ApiResponse => ({
  status: 503,
  retryAfter: 1,
  refusal,
});
/** This controller is isolated; another one may serve the request. */
export const CONTROLLER_ISOLATED: ApiResponse = {
  status: 503,
  retryAfter: 1,
  shouldCloseConnection: true,
  refusal: 'isolated',
};
/** The client will not receive this: it closed the connection before its request was handled. */
export const CLIENT_LEFT: ApiResponse = serviceUnavailable('clientLeft');
/**
 * The store responded to the leader so late that the job may have been accepted since. Unlike a 503, which means that the
 * leader is not ready, a follower passes this on: it would only ask the store the same again.
 */
export const LEADER_STORE_LATE: ApiResponse = { status: 504, retryAfter: 1, refusal: 'storeLate' };
/** The store or the leader found no record of the job, and looked after the request arrived. */
export const NO_SUCH_JOB: ApiResponse = { status: 404, body: { error: 'no such job' } };
/** The service has no resource under this path. */
export const NO_SUCH_PATH: ApiResponse = { status: 404, body: { error: 'no such path' } };
/** The path exists, but does not support this method. */
export const METHOD_NOT_ALLOWED: ApiResponse = { status: 405 };
/** The body exceeds the size limit for messages. */
export const BODY_TOO_LONG: ApiResponse = { status: 400, body: { error: 'body over 64 KiB' } };
/** To a worker: its message is not a valid heartbeat. */
export const INVALID_HEARTBEAT: ApiResponse = { status: 400, body: { error: 'not a report' } };
/** To a worker: this controller cannot handle heartbeats now, for example because it has no authority to respond. */
export const CANNOT_HANDLE_HEARTBEAT: ApiResponse = { status: 503 };
