/** Calls to other hosts by HTTP: the contract between the packages that call and the client. */
import type { DurationMs, Endpoint } from '../units/index.js';

/** Whom a call goes to. Each lane has sockets of its own, so that no call waits behind another's. */
export type ConnectionPool = 'lease' | 'store' | 'cloud' | 'worker';

/** A call whose body, and whose answer's body, is CBOR. */
export interface HttpRequest {
  readonly endpoint: Endpoint;
  /** Without one, the call goes to a host among many, as workers are. */
  readonly pool?: ConnectionPool;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  /** Without one, the call has no body. */
  readonly body?: unknown;
  /** From the call to the end of its answer. */
  readonly timeout: DurationMs;
}

/** What is known of a call once it is over. */
export type HttpOutcome =
  | {
      readonly kind: 'response';
      readonly status: number;
      /** Decoded; undefined if the answer has none. */
      readonly body: unknown;
    }
  /** The connection was never made, so the request cannot have been carried out. */
  | { readonly kind: 'undelivered'; readonly reason: string }
  /** It was sent, or may have been; it may still be carried out at any later time. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Sends calls. The promise is fulfilled with an outcome, also when the call fails. */
export interface HttpClient {
  send(request: HttpRequest): Promise<HttpOutcome>;
}
