import http from 'node:http';
import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';
import type { DurationMs, Endpoint } from '../units/index.js';
import { CONTENT_TYPE, decode, encode } from '../wire/index.js';

/** Whom a call goes to. Each has sockets of its own, so that no call waits behind another's. */
export type Lane = 'lease' | 'store' | 'cloud' | 'worker';

export interface Request {
  readonly endpoint: Endpoint;
  /** If it is not said, a host among many, as workers are. */
  readonly lane?: Lane;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly timeout: DurationMs;
}

/**
 * `undelivered`: the connection was never made, so the request cannot have been carried out.
 * `unknown`: it was sent, or may have been; it may still be carried out at any later time.
 */
export type Outcome =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'undelivered'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

export interface HttpClient {
  send(request: Request): Promise<Outcome>;
}

/**
 * A body of at most `limit` bytes; undefined if it was longer. What goes beyond is read and dropped,
 * so that the sender can still be told; a body many times too long ends the stream. Listens to the
 * stream itself: a pipeline's abort signal costs more than all else that a report takes.
 */
export function readBody(from: Readable, limit: number): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    const closed = (): void => reject(new Error('closed before its end'));
    from.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > 16 * limit) from.destroy(new RangeError('body far too large'));
      else if (size > limit) parts.length = 0;
      else parts.push(chunk);
    });
    from.on('end', () => {
      // The closing that follows is no news, and an error made for nothing costs more than the body.
      from.off('close', closed);
      if (size > limit) resolve(undefined);
      else resolve(parts.length === 1 ? parts[0] : Buffer.concat(parts));
    });
    from.on('error', reject);
    from.on('close', closed);
  });
}

/** A watch's answer holds all changes and has no size limit; this bounds what we would hold. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** The most sockets of the lanes that lead to a single host, and how many of them are kept. */
const LANE_LIMITS: Record<Exclude<Lane, 'worker'>, { most: number; idle: number }> = {
  lease: { most: 3, idle: 1 },
  store: { most: 16, idle: 6 },
  cloud: { most: 3, idle: 1 },
};
/** What those take of a node's sockets together. */
export const LANE_SOCKETS = Object.values(LANE_LIMITS).reduce((n, l) => n + l.most, 0);

const agentOf = (most: number, idle: number): http.Agent =>
  new http.Agent({
    keepAlive: true,
    maxSockets: most,
    maxFreeSockets: idle,
    scheduling: 'lifo',
  });

/** HTTP with CBOR bodies over kept connections. */
export class NodeHttpClient implements HttpClient {
  private readonly lanes: Readonly<Record<Exclude<Lane, 'worker'>, http.Agent>> = {
    lease: agentOf(LANE_LIMITS.lease.most, LANE_LIMITS.lease.idle),
    store: agentOf(LANE_LIMITS.store.most, LANE_LIMITS.store.idle),
    cloud: agentOf(LANE_LIMITS.cloud.most, LANE_LIMITS.cloud.idle),
  };
  private readonly workers: http.Agent;
  private inFlight = 0;

  /** `total`: the most sockets for hosts of which there are many, those that are kept included. */
  constructor(
    private readonly maxWorkerSockets: number,
    perHost: number,
    idlePerHost: number,
  ) {
    this.workers = agentOf(perHost, idlePerHost);
  }

  /**
   * Whether one more call to a worker may leave. The agent keeps a socket for each host that was ever
   * called, and with a thousand of them those would take all that a node may open: the one that has
   * been idle for longest gives way.
   */
  private roomFor(endpoint: Endpoint): boolean {
    const idle: { name: string; socket: Socket }[] = [];
    for (const [name, sockets] of Object.entries(this.workers.freeSockets)) {
      for (const socket of sockets ?? []) if (!socket.destroyed) idle.push({ name, socket });
    }
    if (this.inFlight + idle.length < this.maxWorkerSockets) return true;
    if (idle.some(({ name }) => name.startsWith(`${endpoint}:`))) return true;
    // Hosts come in the order in which they fell idle.
    idle[0]?.socket.destroy();
    return idle.length > 0;
  }

  send(request: Request): Promise<Outcome> {
    const lane = request.lane ?? 'worker';
    const toWorker = lane === 'worker';
    if (toWorker && !this.roomFor(request.endpoint)) {
      return Promise.resolve({ kind: 'undelivered', reason: 'no socket is free' });
    }
    if (toWorker) this.inFlight++;
    return new Promise((resolve) => {
      const cut = request.endpoint.lastIndexOf(':');
      let connected = false;
      let settled = false;
      const settle = (outcome: Outcome): void => {
        if (settled) return;
        settled = true;
        if (toWorker) this.inFlight--;
        clearTimeout(timer);
        resolve(outcome);
      };
      const lost = (reason: string): void =>
        settle(connected ? { kind: 'unknown', reason } : { kind: 'undelivered', reason });
      const bytes = request.body === undefined ? undefined : encode(request.body);
      const req = http.request({
        host: request.endpoint.slice(0, cut),
        port: Number(request.endpoint.slice(cut + 1)),
        method: request.method,
        path: request.path,
        agent: toWorker ? this.workers : this.lanes[lane],
        headers: bytes
          ? { 'content-type': CONTENT_TYPE, 'content-length': bytes.length }
          : { accept: CONTENT_TYPE },
      });
      // A process that is behind reads what has arrived only after its timers: an answer that is there
      // already is no lost one.
      const timer = setTimeout(() => {
        setImmediate(() => {
          if (settled) return;
          lost('no answer in time');
          req.destroy();
        });
      }, request.timeout);
      req.on('socket', (socket) => {
        // A kept connection is connected already. Until a new one is, nothing can have left.
        if (socket.connecting) socket.once('connect', () => (connected = true));
        else connected = true;
      });
      req.on('error', (e) => lost(e.message));
      req.on('response', (res) => {
        readBody(res, MAX_RESPONSE_BYTES).then(
          (body) => {
            try {
              if (!body) throw new RangeError('answer too large');
              settle({
                kind: 'answer',
                status: res.statusCode ?? 0,
                body: body.length > 0 ? decode(body) : undefined,
              });
            } catch {
              lost('unreadable answer');
            }
          },
          (e: Error) => lost(e.message),
        );
      });
      req.end(bytes);
    });
  }
}
