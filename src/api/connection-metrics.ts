/** Counts the connections of users, workers and health checks to this controller. */
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import { HEARTBEAT_PATH } from './app.js';

/** The kind of client on a connection; `unidentified` until its first request. */
type ClientKind = 'worker' | 'user' | 'unidentified';

/** Open connections by kind, and the connections since the previous report. */
export interface ConnectionReport {
  readonly worker: number;
  readonly user: number;
  readonly unidentified: number;
  /** Connections that were accepted. */
  readonly opened: number;
  /** Connections that were closed at once because of the limit. */
  readonly dropped: number;
}

/** Observes the connections of a server. */
export class ConnectionMetrics {
  private readonly kinds = new Map<Socket, ClientKind>();
  private opened = 0;
  private dropped = 0;

  constructor(server: Server) {
    server.on('connection', (socket) => this.add(socket));
    server.on('request', (request) => this.identify(request));
    server.on('drop', () => this.dropped++);
  }

  private add(socket: Socket): void {
    this.opened++;
    this.kinds.set(socket, 'unidentified');
    socket.once('close', () => this.kinds.delete(socket));
  }

  /** Health checks count as users: both must be served whatever the workers do. */
  private identify({ socket, url }: IncomingMessage): void {
    if (this.kinds.has(socket)) this.kinds.set(socket, url === HEARTBEAT_PATH ? 'worker' : 'user');
  }

  /** The connections that are open now, and the counts since the previous report. */
  takeReport(): ConnectionReport {
    const counts: Record<ClientKind, number> = { worker: 0, user: 0, unidentified: 0 };
    for (const kind of this.kinds.values()) counts[kind]++;
    const report = { ...counts, opened: this.opened, dropped: this.dropped };
    this.opened = 0;
    this.dropped = 0;
    return report;
  }
}
