/** The HTTP client: kept connections, bounded for each lane. */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { Endpoint } from '../units/index.js';
import { Exchange } from './exchange.js';
import type { HttpClient, ConnectionPool, HttpOutcome, HttpRequest } from './http.js';

/** The lanes that lead to a single host. */
type SingleHostLane = Exclude<ConnectionPool, 'worker'>;

interface SocketLimits {
  /** Sockets to one host, in use and idle. */
  readonly max: number;
  /** Sockets to one host that are kept while they are idle. */
  readonly idle: number;
}

const LANE_LIMITS: Record<SingleHostLane, SocketLimits> = {
  lease: { max: 3, idle: 1 },
  store: { max: 16, idle: 6 },
  cloud: { max: 3, idle: 1 },
};

/** The most sockets that the lanes to single hosts take together. */
export const MAX_STORE_AND_CLOUD_SOCKETS = Object.values(LANE_LIMITS).reduce(
  (sum, { max }) => sum + max,
  0,
);

const newAgent = ({ max, idle }: SocketLimits): http.Agent =>
  new http.Agent({
    keepAlive: true,
    maxSockets: max,
    maxFreeSockets: idle,
    scheduling: 'lifo',
  });

/** HTTP with CBOR bodies over kept connections. */
export class PooledHttpClient implements HttpClient {
  private readonly lanes: Readonly<Record<SingleHostLane, http.Agent>> = {
    lease: newAgent(LANE_LIMITS.lease),
    store: newAgent(LANE_LIMITS.store),
    cloud: newAgent(LANE_LIMITS.cloud),
  };
  private readonly workers: http.Agent;
  private workerCallsInFlight = 0;

  /**
   * `maxWorkerSockets`: the most sockets to all workers together, idle ones included. `maxPerWorker` and
   * `idlePerWorker` bound those to one worker.
   */
  constructor(
    private readonly maxWorkerSockets: number,
    maxPerWorker: number,
    idlePerWorker: number,
  ) {
    this.workers = newAgent({ max: maxPerWorker, idle: idlePerWorker });
  }

  send(request: HttpRequest): Promise<HttpOutcome> {
    const lane = request.pool ?? 'worker';
    if (lane !== 'worker') {
      return new Promise((resolve) => {
        new Exchange(request, this.lanes[lane], resolve);
      });
    }
    if (!this.hasSocketFor(request.endpoint)) {
      return Promise.resolve({ kind: 'undelivered', reason: 'no socket is free' });
    }
    this.workerCallsInFlight++;
    return new Promise((resolve) => {
      new Exchange(request, this.workers, (outcome) => {
        this.workerCallsInFlight--;
        resolve(outcome);
      });
    });
  }

  /**
   * Whether one more call to a worker may leave. The agent keeps a socket for each worker that was ever called,
   * and those of a thousand workers would take all that a node may open: the socket that has been idle for
   * longest is closed for the new one.
   */
  private hasSocketFor(endpoint: Endpoint): boolean {
    const idle: { name: string; socket: Socket }[] = [];
    for (const [name, sockets] of Object.entries(this.workers.freeSockets)) {
      for (const socket of sockets ?? []) if (!socket.destroyed) idle.push({ name, socket });
    }
    if (this.workerCallsInFlight + idle.length < this.maxWorkerSockets) return true;
    if (idle.some(({ name }) => name.startsWith(`${endpoint}:`))) return true;
    // Hosts come in the order in which they fell idle.
    idle[0]?.socket.destroy();
    return idle.length > 0;
  }
}
