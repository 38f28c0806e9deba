/** The response to an HTTP request, and the responses that several handlers share. */

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
}

/** The request failed or its outcome is unknown: the client may repeat it a second later. */
export const SERVICE_UNAVAILABLE: ApiResponse = { status: 503, retryAfter: 1 };
/** This controller is isolated; another one may serve the request. */
export const CONTROLLER_ISOLATED: ApiResponse = {
  status: 503,
  retryAfter: 1,
  shouldCloseConnection: true,
};
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
