/** An HTTP client that keeps connections alive in pools of limited size. */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { Endpoint } from '../units/index.js';
import { Exchange } from './exchange.js';
import type { HttpClient, ConnectionPool, HttpOutcome, HttpRequest } from './http.js';

/** The connection pools that connect to a single host. */
type SingleHostPool = Exclude<ConnectionPool, 'worker'>;

interface SocketLimits {
  /** The most sockets to one host, both in use and idle. */
  readonly max: number;
  /** The most idle sockets to one host that are kept open. */
  readonly idle: number;
}

const POOL_LIMITS: Record<SingleHostPool, SocketLimits> = {
  lease: { max: 3, idle: 1 },
  store: { max: 16, idle: 6 },
  cloud: { max: 3, idle: 1 },
};

/** The most sockets that the pools for the store and the cloud use together. */
export const MAX_STORE_AND_CLOUD_SOCKETS = Object.values(POOL_LIMITS).reduce(
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

/** The codes of errors by which the platform refuses a socket. */
const NO_SOCKET_ERRORS = /\b(EMFILE|ENFILE|ENOBUFS)\b/;

/** The sockets to all workers. */
export interface WorkerSocketCounts {
  readonly inFlight: number;
  readonly idle: number;
}

/** Sends HTTP requests with CBOR bodies over persistent connections. */
export class PooledHttpClient implements HttpClient {
  private readonly singleHostAgents: Readonly<Record<SingleHostPool, http.Agent>> = {
    lease: newAgent(POOL_LIMITS.lease),
    store: newAgent(POOL_LIMITS.store),
    cloud: newAgent(POOL_LIMITS.cloud),
  };
  private readonly workerAgent: http.Agent;
  private workerRequestsInFlight = 0;

  /**
   * `maxWorkerSockets` limits the sockets to all workers together, including idle ones. `maxPerWorker` and
   * `idlePerWorker` limit the sockets to one worker. `onSocketRefused` is called when the platform refuses a socket for a
   * connection.
   */
  constructor(
    private readonly maxWorkerSockets: number,
    maxPerWorker: number,
    idlePerWorker: number,
    private readonly onSocketRefused?: () => void,
  ) {
    this.workerAgent = newAgent({ max: maxPerWorker, idle: idlePerWorker });
  }

  send(request: HttpRequest): Promise<HttpOutcome> {
    const pool = request.pool ?? 'worker';
    return pool === 'worker'
      ? this.sendToWorker(request)
      : this.exchange(request, this.singleHostAgents[pool]);
  }

  private async sendToWorker(request: HttpRequest): Promise<HttpOutcome> {
    if (!this.hasSocketFor(request.endpoint))
      return { kind: 'undelivered', reason: 'no socket is free' };
    this.workerRequestsInFlight++;
    try {
      return await this.exchange(request, this.workerAgent);
    } finally {
      this.workerRequestsInFlight--;
    }
  }

  private exchange(request: HttpRequest, agent: http.Agent): Promise<HttpOutcome> {
    return new Promise((resolve) => {
      new Exchange(request, agent, (outcome) => {
        this.checkForRefusedSocket(outcome);
        resolve(outcome);
      });
    });
  }

  /** The requests in flight to workers, each with a socket, and the idle sockets. */
  workerSocketCounts(): WorkerSocketCounts {
    const idle = Object.values(this.workerAgent.freeSockets).reduce(
      (sum, sockets) => sum + (sockets?.length ?? 0),
      0,
    );
    return { inFlight: this.workerRequestsInFlight, idle };
  }

  private checkForRefusedSocket(outcome: HttpOutcome): void {
    if (outcome.kind === 'undelivered' && NO_SOCKET_ERRORS.test(outcome.reason))
      this.onSocketRefused?.();
  }

  /**
   * Whether one more request can be sent to a worker. The agent keeps a socket open for each worker that ever received
   * a request, and those of a thousand workers would use up all sockets that a controller may open. At the limit, the
   * socket that has been idle for longest is closed to make room.
   */
  private hasSocketFor(endpoint: Endpoint): boolean {
    const idle: { name: string; socket: Socket }[] = [];
    for (const [name, sockets] of Object.entries(this.workerAgent.freeSockets)) {
      for (const socket of sockets ?? []) if (!socket.destroyed) idle.push({ name, socket });
    }
    if (this.workerRequestsInFlight + idle.length < this.maxWorkerSockets) return true;
    if (idle.some(({ name }) => name.startsWith(`${endpoint}:`))) return true;
    // Hosts are listed in the order in which they became idle.
    idle[0]?.socket.destroy();
    return idle.length > 0;
  }
}
