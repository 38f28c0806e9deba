/**
 * Keeps connections free for new clients. Workers and users keep theirs open; a few thousand of them would use up all
 * that a controller may accept, and the load balancer would remove it because its health checks get none.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { durationBetween, type Clock, type DurationMs, type SteadyMs } from '../units/index.js';

/** The share of the connections that is kept free for new clients. */
const RESERVED_SHARE = 0.125;
const MIN_RESERVED_CONNECTIONS = 8;
/** A client that has been silent for this many heartbeat intervals has lost its connection, or will replace it. */
const SILENT_AFTER_HEARTBEATS = 2;

/** The kind of client on a connection. */
export type ClientKind = 'worker' | 'user' | 'healthCheck';

/** Open connections by kind, and the connections since the previous report. */
export interface ConnectionReport {
  readonly worker: number;
  readonly user: number;
  readonly healthCheck: number;
  /** Connections without a request so far. */
  readonly unidentified: number;
  /** Connections that were accepted. */
  readonly opened: number;
  /** Connections that were closed at once, because there were too many. */
  readonly dropped: number;
  /** Idle connections that were closed to make room. */
  readonly evicted: number;
  /** Requests that were refused at once, because too many others were waiting. */
  readonly refused: number;
}

interface Connection {
  client: ClientKind | undefined;
  isBusy: boolean;
}

/** The connections of one server. */
export class ApiConnections {
  private readonly connections = new Map<Socket, Connection>();
  /** The idle connections, idle for longest first, with the time since when they are idle. */
  private readonly idle = new Map<Socket, SteadyMs>();
  private readonly reserved: number;
  private busyCount = 0;
  private accepted = 0;
  private acceptedAtReport = 0;
  private dropped = 0;
  private evicted = 0;
  private refused = 0;

  constructor(
    private readonly maxConnections: number,
    private readonly heartbeatInterval: DurationMs,
    private readonly clock: Pick<Clock, 'steady'>,
  ) {
    this.reserved = Math.max(MIN_RESERVED_CONNECTIONS, Math.floor(maxConnections * RESERVED_SHARE));
  }

  /** Counts and limits the connections of a server from now on. */
  observe(server: Server): void {
    server.maxConnections = this.maxConnections;
    server.on('connection', (socket) => this.add(socket));
    server.on('drop', () => this.dropped++);
  }

  /** How many connections have been accepted so far. */
  get acceptedCount(): number {
    return this.accepted;
  }

  /** The number of open connections. */
  get openCount(): number {
    return this.connections.size;
  }

  /** Whether clients should reconnect for their next request, so that connections remain for new clients. */
  get isCrowded(): boolean {
    return this.connections.size > this.maxConnections - this.reserved;
  }

  /**
   * Records the beginning of a request. False if it must be refused at once, since the requests that wait for a response
   * hold too many connections: heartbeats leave the reserved ones to users, users half of them to health checks, which
   * are never refused.
   */
  beginRequest(socket: Socket, client: ClientKind): boolean {
    const connection = this.connections.get(socket);
    if (!connection) return true;
    connection.client = client;
    this.setBusy(socket, connection, true);
    if (client === 'healthCheck' || this.busyCount <= this.maxBusyFor(client)) return true;
    this.refused++;
    return false;
  }

  private maxBusyFor(client: 'worker' | 'user'): number {
    return this.maxConnections - (client === 'worker' ? this.reserved : this.reserved / 2);
  }

  /** Records that the response to the request on a connection is complete. */
  endRequest(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection) this.setBusy(socket, connection, false);
  }

  /** The connections that are open now, and the counts since the previous report. */
  takeReport(): ConnectionReport {
    const counts = { worker: 0, user: 0, healthCheck: 0, unidentified: 0 };
    for (const { client } of this.connections.values()) counts[client ?? 'unidentified']++;
    const { dropped, evicted, refused } = this;
    const opened = this.accepted - this.acceptedAtReport;
    this.acceptedAtReport = this.accepted;
    this.dropped = 0;
    this.evicted = 0;
    this.refused = 0;
    return { ...counts, opened, dropped, evicted, refused };
  }

  private add(socket: Socket): void {
    this.accepted++;
    this.connections.set(socket, { client: undefined, isBusy: false });
    socket.once('close', () => this.remove(socket));
    if (this.connections.size > this.maxConnections - this.reserved / 2) this.evictIdle();
  }

  private remove(socket: Socket): void {
    this.endRequest(socket);
    this.idle.delete(socket);
    this.connections.delete(socket);
  }

  private setBusy(socket: Socket, connection: Connection, isBusy: boolean): void {
    if (connection.isBusy === isBusy) return;
    connection.isBusy = isBusy;
    this.busyCount += isBusy ? 1 : -1;
    if (isBusy) this.idle.delete(socket);
    else this.idle.set(socket, this.clock.steady());
  }

  /**
   * Closes the connection of a silent client; if there is none, the one that became idle last, whose next request is
   * probably the furthest away.
   */
  private evictIdle(): void {
    const [longestIdle] = this.idle;
    if (!longestIdle) return;
    const [silentSocket, idleSince] = longestIdle;
    const idleTime = durationBetween(idleSince, this.clock.steady());
    const isSilent = idleTime > SILENT_AFTER_HEARTBEATS * this.heartbeatInterval;
    const evicted = isSilent ? silentSocket : [...this.idle.keys()].at(-1);
    this.evicted++;
    evicted?.destroy();
  }
}
