/** Sends commands to workers directly when they should not wait for the response to the next heartbeat. */
import type { Machine } from '../fleet/machine.js';
import { attemptKey, type StatusSource, type WorkerStatus } from '../fleet/worker-status.js';
import type { Job } from '../ledger/job.js';
import {
  addDuration,
  ms,
  seconds,
  type DurationMs,
  type Epoch,
  type JobId,
  type MachineId,
} from '../units/index.js';
import type { Command } from '../wire/index.js';
import type { TermDependencies } from './term-dependencies.js';
import { MachineProber } from './machine-prober.js';
import type { PlacementIndex } from './placement-index.js';
import { prepareDirectCommands, recordDirectStarts } from './direct-commands.js';
import type { StartFencing } from './start-fencing.js';
import { attemptOf } from './task-commands.js';
import {
  WORKER_REQUEST_TIMEOUT,
  UNCONFIRMED_MACHINE_REQUEST_TIMEOUT,
  WorkerRequestSender,
  type WorkerRequestDependencies,
} from './worker-request-sender.js';

/** After a request without a response, commands go to the machine only in heartbeat responses for this long. */
const DIRECT_COMMAND_PAUSE = seconds(8);

/** Receives the worker statuses from heartbeats and from responses to direct commands, and reconciles placements. */
export interface StatusObserver {
  /** Called after the status has been recorded as the machine's latest one. */
  observe(machine: Machine, status: WorkerStatus, source: StatusSource): void;
}

/** Dependencies of the sender. */
export type DirectCommandSenderDependencies = WorkerRequestDependencies &
  Pick<TermDependencies, 'authority'>;

/** Sends direct commands to machines under one epoch, and probes machines that seem not to receive messages. */
export class DirectCommandSender {
  /** Machines that may have commands to be sent, in the order in which sending was requested. */
  private readonly pendingMachines = new Set<Machine>();
  private isSendScheduled = false;
  private readonly requestSender: WorkerRequestSender;
  private readonly prober: MachineProber;
  /**
   * Set while this controller falls behind with its work. Start commands then go in heartbeat responses only, where
   * each costs less than in a direct request.
   */
  isControllerBusy = false;

  constructor(
    private readonly epoch: Epoch,
    private readonly placements: PlacementIndex,
    private readonly fencing: Pick<StartFencing, 'tokenForRequest'>,
    private readonly observer: StatusObserver,
    private readonly deps: DirectCommandSenderDependencies,
  ) {
    this.requestSender = new WorkerRequestSender(placements.fleet, deps, {
      onRequestEnded: (machine) => this.scheduleDirectCommands(machine.id),
    });
    this.prober = new MachineProber({
      requestSender: this.requestSender,
      fencing,
      jobs: this.jobs,
      observer,
      deps,
      hasAuthority: () => this.hasAuthority,
    });
  }

  close(): void {
    this.requestSender.close();
  }

  private get jobs(): ReadonlyMap<JobId, Job> {
    return this.placements.ledger.jobs;
  }

  private get hasAuthority(): boolean {
    return this.deps.authority() === this.epoch;
  }

  /** Sends the machine's due commands in the next turn of the event loop, together with those for other machines. */
  scheduleDirectCommands(id: MachineId): void {
    const machine = this.placements.fleet.machines.get(id);
    if (!machine) return;
    this.pendingMachines.add(machine);
    if (this.isSendScheduled) return;
    this.isSendScheduled = true;
    this.deps.clock.after(ms(0), () => {
      this.isSendScheduled = false;
      this.sendPending();
    });
  }

  /** If no socket is free, the other machines stay pending; their heartbeat responses carry the commands too. */
  private sendPending(): void {
    for (const machine of this.pendingMachines) {
      if (!this.requestSender.hasFreeSocket) return;
      this.pendingMachines.delete(machine);
      if (machine.hasCommandInFlight || !this.canSendTo(machine)) continue;
      const commands = prepareDirectCommands(machine, this.jobs, !this.isControllerBusy);
      if (commands.length === 0) continue;
      const fencingToken = this.fencing.tokenForRequest(machine);
      recordDirectStarts(machine, commands, fencingToken);
      this.requestSender.startExchange(machine, () =>
        this.sendBatch(machine, fencingToken, commands),
      );
    }
  }

  /** Whether a command can be sent to a machine now, or as soon as the request in flight has ended. */
  canSendTo(machine: Machine): boolean {
    if (this.requestSender.isClosed || !machine.isUp || !machine.address || !machine.status)
      return false;
    if (machine.isDeleteSent) return false;
    const now = this.deps.clock.steady();
    return now >= machine.commandsPausedUntil && now <= machine.leaseExpiresAt && this.hasAuthority;
  }

  private async sendBatch(
    machine: Machine,
    fencingToken: number,
    commands: readonly Command[],
  ): Promise<void> {
    const wasUnconfirmed = machine.isUnconfirmed(this.epoch);
    const timeout = wasUnconfirmed ? UNCONFIRMED_MACHINE_REQUEST_TIMEOUT : WORKER_REQUEST_TIMEOUT;
    const { outcome, reason, status } = await this.requestSender.sendRequest(machine, {
      fencingToken,
      commands,
      timeout,
    });
    if (this.requestSender.isClosed) return;
    if (outcome === 'answered') {
      if (status && this.requestSender.recordResponse(machine, status))
        this.observer.observe(machine, status, 'commandResponse');
      return;
    }
    this.deps.log.info(
      { machine: machine.id, reason },
      'worker did not respond to direct commands; sending them in heartbeat responses for now',
    );
    machine.commandsPausedUntil = addDuration(this.deps.clock.steady(), DIRECT_COMMAND_PAUSE);
    if (outcome !== 'undelivered') return;
    if (wasUnconfirmed && machine.isUnconfirmed(this.epoch))
      this.requeueUnsentTasks(machine, commands);
  }

  /** Requeues tasks whose start command was never sent. No proof is needed that the machine does not run them. */
  private requeueUnsentTasks(machine: Machine, unsentCommands: readonly Command[]): void {
    const unsentStarts = unsentCommands.filter(({ type }) => type === 'launch');
    const unsentAttempts = new Set(unsentStarts.map(attemptOf));
    for (const [key, assigned] of [...machine.assignments]) {
      const job = this.jobs.get(assigned.job);
      const placement = job?.placements.get(assigned.index);
      if (!job || !placement || placement.startSentInResponseTo || placement.isReported) continue;
      if (!unsentAttempts.has(attemptKey(key, assigned.attempt))) continue;
      this.placements.requeueTask(job, assigned.index, 'its start command was not sent');
    }
  }

  /** Probes machines that seem not to receive messages, or from which only stale statuses arrive. */
  probeSilentMachines(machines: Iterable<Machine>, silenceThreshold: DurationMs): void {
    this.prober.probeDueMachines(machines, silenceThreshold);
  }
}
