/** HTTP requests to other hosts: the interface between the HTTP client and the packages that use it. */
import type { DurationMs, Endpoint } from '../units/index.js';

/** The kind of server that a request goes to. Each pool has sockets of its own, so that no kind waits for another. */
export type ConnectionPool = 'lease' | 'store' | 'cloud' | 'worker';

/** A request whose body is CBOR, as is the body of its response. */
export interface HttpRequest {
  readonly endpoint: Endpoint;
  /** Without one, the request goes to one of many hosts, such as a worker. */
  readonly pool?: ConnectionPool;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  /** Without one, the request has no body. */
  readonly body?: unknown;
  /** The time from sending the request to the end of its response. */
  readonly timeout: DurationMs;
}

/** What is known of a request once it has ended. */
export type HttpOutcome =
  | {
      readonly kind: 'response';
      readonly status: number;
      /** The decoded body; undefined if the response has none. */
      readonly body: unknown;
    }
  /** No connection was made, so the request cannot have been executed. */
  | { readonly kind: 'undelivered'; readonly reason: string }
  /** The request was sent, or may have been; it may still be executed at any later time. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Sends requests. The promise is fulfilled with an outcome even if the request fails. */
export interface HttpClient {
  send(request: HttpRequest): Promise<HttpOutcome>;
}
