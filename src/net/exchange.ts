/** One HTTP request and its response. */
import http from 'node:http';
import { errorMessage } from '../units/errors.js';
import { CONTENT_TYPE, decode, encode } from '../wire/index.js';
import { readBody } from './read-body.js';
import type { HttpOutcome, HttpRequest } from './http.js';

/** The response to a watch holds all changes and has no size limit of its own; this limits the memory it can use. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Sends a request on construction, and passes its outcome to a callback exactly once. */
export class Exchange {
  private readonly clientRequest: http.ClientRequest;
  private readonly timer: NodeJS.Timeout;
  /** Until a connection exists, nothing can have been sent. */
  private isConnected = false;
  private isSettled = false;

  /** Throws if the request cannot be encoded; `onSettled` is then not called. */
  constructor(
    request: HttpRequest,
    agent: http.Agent,
    private readonly onSettled: (outcome: HttpOutcome) => void,
  ) {
    const { endpoint, method, path } = request;
    const colon = endpoint.lastIndexOf(':');
    const bytes = request.body === undefined ? undefined : encode(request.body);
    this.clientRequest = http.request({
      host: endpoint.slice(0, colon),
      port: Number(endpoint.slice(colon + 1)),
      method,
      path,
      agent,
      headers: bytes
        ? { 'content-type': CONTENT_TYPE, 'content-length': bytes.length }
        : { accept: CONTENT_TYPE },
    });
    this.timer = setTimeout(() => this.expire(), request.timeout);
    this.listen();
    this.clientRequest.end(bytes);
  }

  private listen(): void {
    this.clientRequest.on('socket', (socket) => {
      // A reused socket is already connected.
      if (socket.connecting) socket.once('connect', () => (this.isConnected = true));
      else this.isConnected = true;
    });
    this.clientRequest.on('error', (error) => this.fail(error.message));
    this.clientRequest.on('response', (response) => {
      readBody(response, MAX_RESPONSE_BYTES).then(
        (body) => this.finish(response.statusCode ?? 0, body),
        (error: unknown) => this.fail(errorMessage(error)),
      );
    });
  }

  /**
   * An overloaded process runs its timers before it reads data that has already arrived. Such a response still counts,
   * so it gets one more iteration of the event loop.
   */
  private expire(): void {
    setImmediate(() => {
      if (this.isSettled) return;
      this.fail('no response before the timeout');
      this.clientRequest.destroy();
    });
  }

  /** `body`: undefined if it exceeded the limit. */
  private finish(status: number, body: Buffer | undefined): void {
    try {
      if (!body) throw new RangeError('response too large');
      this.settle({
        kind: 'response',
        status,
        body: body.length > 0 ? decode(body) : undefined,
      });
    } catch {
      this.fail('unreadable response');
    }
  }

  private fail(reason: string): void {
    this.settle({ kind: this.isConnected ? 'unknown' : 'undelivered', reason });
  }

  private settle(outcome: HttpOutcome): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.timer);
    this.onSettled(outcome);
  }
}
