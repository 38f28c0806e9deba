/** Calls to workers under the leader's epoch: how many at a time, on which way, and what their replies show. */
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { workerLeaseEnd } from '../fleet/worker-lease.js';
import { toWorkerStatus, type WorkerStatus } from '../fleet/worker-status.js';
import type { CommandOutcome } from '../peer/messages.js';
import { sendCommandsToWorker, sendCommandsViaPeer } from '../relay/worker-commands.js';
import { detach } from '../units/detach.js';
import { ms, type DurationMs, type Epoch } from '../units/index.js';
import type { Command } from '../wire/index.js';
import type { TermDependencies } from './term-dependencies.js';

/** The timeout of a call to a worker whose machine this epoch has seen. */
export const WORKER_CALL_TIMEOUT = ms(2500);
/** The timeout where the machine may be long gone, known only from late copies of heartbeats. */
export const UNCONFIRMED_CALL_TIMEOUT = ms(1200);
/** The share of a node's sockets that calls in flight may take, and the least number of them. */
const MAX_SOCKET_SHARE = 0.08;
const MIN_CALL_LIMIT = 4;

/** What the calls need from outside. */
export type WorkerCallDependencies = Pick<
  TermDependencies,
  'clock' | 'http' | 'log' | 'peers' | 'settings'
>;

/** Is notified of each call. */
export interface CallListener {
  /** The call has ended, and a socket is free again. */
  onCallEnded(machine: Machine): void;
}

/** The result of a call. */
export interface CallResult {
  readonly outcome: CommandOutcome;
  /** What went wrong; empty if the worker answered. */
  readonly reason: string;
  /** The machine's status after the commands; undefined without a valid reply. */
  readonly status: WorkerStatus | undefined;
}

/** Makes calls to workers, one at a time for each machine. */
export class WorkerCalls {
  private inFlight = 0;
  private closed = false;

  constructor(
    private readonly epoch: Epoch,
    private readonly fleet: Fleet,
    private readonly deps: WorkerCallDependencies,
    private readonly listener: CallListener,
  ) {}

  close(): void {
    this.closed = true;
  }

  /** Nothing may be concluded from replies that arrive from now on. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Whether calls in flight leave a socket for another one that need not be made at once. */
  get hasFreeSocket(): boolean {
    const { maxConnections } = this.deps.settings.limits;
    return this.inFlight < Math.max(MIN_CALL_LIMIT, maxConnections * MAX_SOCKET_SHARE);
  }

  /** Runs a call that counts against the limit; its failure is logged. */
  start(machine: Machine, call: () => Promise<void>): void {
    this.inFlight++;
    machine.commandInFlight = true;
    detach(this.run(machine, call), this.deps.log, 'follow-up of a command');
  }

  private async run(machine: Machine, call: () => Promise<void>): Promise<void> {
    await call().catch((error: unknown) => {
      this.deps.log.error({ err: error, machine: machine.id }, 'command failed');
    });
    this.inFlight--;
    machine.commandInFlight = false;
    if (!this.closed) this.listener.onCallEnded(machine);
  }

  /** Sends commands directly, or through the node that relays the machine's heartbeats. */
  async send(
    machine: Machine,
    commands: readonly Command[],
    timeout: DurationMs,
  ): Promise<CallResult> {
    if (!machine.address || !machine.status)
      return { outcome: 'undelivered', reason: 'no address', status: undefined };
    const request = {
      type: 'sendCommands' as const,
      address: machine.address,
      fencingToken: this.epoch,
      session: machine.status.session,
      timeoutMs: timeout,
      commands,
    };
    const { http, peers } = this.deps;
    const peer = machine.relayNode === undefined ? undefined : peers.get(machine.relayNode);
    const { outcome, reason, heartbeat } = peer?.isResponsive
      ? await sendCommandsViaPeer(peer, request)
      : await sendCommandsToWorker(http, request);
    // Another machine may have got the address; and one that is gone must not be brought back.
    const isSound = heartbeat?.machine === machine.id && !this.fleet.isGone(machine.id);
    return { outcome, reason, status: isSound ? toWorkerStatus(heartbeat) : undefined };
  }

  /**
   * Records the status in a reply; false if it is stale. It may be the first one of a new session, whose lease
   * runs from its beginning although no heartbeat of it has been answered: until that lease has expired, nothing
   * that is started there is gone, whenever the lease of the session before was to expire.
   */
  recordReply(machine: Machine, status: WorkerStatus): boolean {
    const now = this.deps.clock.steady();
    const isNewSession = machine.status === undefined || status.session > machine.status.session;
    if (!machine.recordStatus(status, now)) return false;
    if (isNewSession) machine.extendLease(workerLeaseEnd(now, this.deps.settings.workers.lease));
    return true;
  }
}
