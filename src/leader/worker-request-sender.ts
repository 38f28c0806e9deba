/** Sends requests to workers: limits their number, picks the route, records the responses. */
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { workerLeaseEnd } from '../fleet/worker-lease.js';
import { toWorkerStatus, type WorkerStatus } from '../fleet/worker-status.js';
import type { CommandOutcome } from '../peer/messages.js';
import { sendCommandsToWorker, sendCommandsViaPeer } from '../relay/worker-commands.js';
import { runInBackground } from '../units/run-in-background.js';
import { ms, type DurationMs } from '../units/index.js';
import type { Command } from '../wire/index.js';
import type { TermDependencies } from './term-dependencies.js';

/** Timeout of a request to a worker that has been heard from in this epoch. */
export const WORKER_REQUEST_TIMEOUT = ms(2500);
/** Timeout if the machine may no longer exist, because it may be known only from delayed copies of heartbeats. */
export const UNCONFIRMED_MACHINE_REQUEST_TIMEOUT = ms(1200);
/** Share of a controller's sockets that requests in flight may use. */
const MAX_SOCKET_SHARE = 0.08;
/** Number of requests that may be in flight however few sockets the controller has. */
const MIN_REQUEST_LIMIT = 4;

/** Dependencies of the sender. */
export type WorkerRequestDependencies = Pick<
  TermDependencies,
  'clock' | 'http' | 'log' | 'peers' | 'settings'
>;

/** Receives the events of requests. */
export interface WorkerRequestListener {
  /** The request has ended, and its socket is free again. */
  onRequestEnded(machine: Machine): void;
}

/** A request to a worker. */
export interface WorkerRequest {
  readonly fencingToken: number;
  readonly commands: readonly Command[];
  readonly timeout: DurationMs;
}

/** The result of a request. */
export interface WorkerRequestResult {
  readonly outcome: CommandOutcome;
  /** Cause of the failure; empty if the worker responded. */
  readonly reason: string;
  /** The machine's status after the commands; undefined without a valid response. */
  readonly status: WorkerStatus | undefined;
}

/** Sends requests to workers, one at a time for each machine. */
export class WorkerRequestSender {
  private inFlightCount = 0;
  private hasClosed = false;

  constructor(
    private readonly fleet: Fleet,
    private readonly deps: WorkerRequestDependencies,
    private readonly listener: WorkerRequestListener,
  ) {}

  close(): void {
    this.hasClosed = true;
  }

  /** Whether the sender is closed. Responses that arrive afterwards must be ignored. */
  get isClosed(): boolean {
    return this.hasClosed;
  }

  /** Whether the requests in flight leave a socket for another request that can wait. */
  get hasFreeSocket(): boolean {
    const { maxConnections } = this.deps.settings.limits;
    return this.inFlightCount < Math.max(MIN_REQUEST_LIMIT, maxConnections * MAX_SOCKET_SHARE);
  }

  /** Starts sending a request and handling its response. It counts against the limit, and its failure is logged. */
  startExchange(machine: Machine, exchange: () => Promise<void>): void {
    this.inFlightCount++;
    machine.hasCommandInFlight = true;
    runInBackground(
      this.runExchange(machine, exchange),
      this.deps.log,
      'follow-up of a worker request',
    );
  }

  private async runExchange(machine: Machine, exchange: () => Promise<void>): Promise<void> {
    await exchange().catch((error: unknown) => {
      this.deps.log.error(
        { err: error, machine: machine.id },
        'handling a worker request failed; heartbeat responses still carry the commands',
      );
    });
    this.inFlightCount--;
    machine.hasCommandInFlight = false;
    if (!this.hasClosed) this.listener.onRequestEnded(machine);
  }

  /** Sends commands directly, or through the controller that relays the machine's heartbeats. */
  async sendRequest(
    machine: Machine,
    { fencingToken, commands, timeout }: WorkerRequest,
  ): Promise<WorkerRequestResult> {
    if (!machine.address || !machine.status)
      return { outcome: 'undelivered', reason: 'no address', status: undefined };
    const request = {
      type: 'sendCommands' as const,
      address: machine.address,
      fencingToken,
      session: machine.status.session,
      timeoutMs: timeout,
      commands,
    };
    const { http, peers } = this.deps;
    const peer =
      machine.relayControllerId === undefined ? undefined : peers.get(machine.relayControllerId);
    const { outcome, reason, heartbeat } = peer?.isResponsive
      ? await sendCommandsViaPeer(peer, request)
      : await sendCommandsToWorker(http, request);
    // Another machine may have been given the address, and a machine that is gone must not be added back.
    const isUsable = heartbeat?.machine === machine.id && !this.fleet.isGone(machine.id);
    return { outcome, reason, status: isUsable ? toWorkerStatus(heartbeat) : undefined };
  }

  /**
   * Records the status in a response; returns false if it is stale. The status may be the first one of a new session,
   * whose lease runs from the beginning of the session although none of its heartbeats has got a response. Tasks that
   * are started there may run until that lease expires, whenever the lease of the previous session would have expired.
   */
  recordResponse(machine: Machine, status: WorkerStatus): boolean {
    const now = this.deps.clock.steady();
    const isNewSession = machine.status === undefined || status.session > machine.status.session;
    if (!machine.recordStatus(status, now)) return false;
    if (isNewSession) machine.extendLease(workerLeaseEnd(now, this.deps.settings.workers.lease));
    return true;
  }
}
