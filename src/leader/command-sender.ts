/** Pushes commands to workers where they should not wait for the reply to the next heartbeat. */
import type { Machine } from '../fleet/machine.js';
import { attemptKey, type StatusSource, type WorkerStatus } from '../fleet/worker-status.js';
import type { Job } from '../ledger/job.js';
import {
  later,
  ms,
  seconds,
  type DurationMs,
  type Epoch,
  type JobId,
  type MachineId,
} from '../units/index.js';
import type { TermDependencies } from './term-dependencies.js';
import { MachineProbe } from './machine-probe.js';
import type { PlacementIndex } from './placement-index.js';
import { preparePush, type Push } from './push-commands.js';
import {
  WORKER_CALL_TIMEOUT,
  UNCONFIRMED_CALL_TIMEOUT,
  WorkerCalls,
  type WorkerCallDependencies,
} from './worker-calls.js';

/** After an unanswered push, commands go to the machine only in replies for this long. */
const PUSH_PAUSE = seconds(8);

/** Reconciles placements with the statuses that replies to commands carry. */
export interface StatusObserver {
  /** The status has been recorded as the machine's newest one. */
  observe(machine: Machine, status: WorkerStatus, source: StatusSource): void;
}

/** What the sender needs from outside. */
export type CommandSenderDependencies = WorkerCallDependencies &
  Pick<TermDependencies, 'authority'>;

/** Pushes to machines under one epoch, and probes those that seem not to receive. */
export class CommandSender {
  /** Machines with a push to be made, in the order in which it was asked for. */
  private readonly pendingPushes = new Set<Machine>();
  private pushScheduled = false;
  private readonly calls: WorkerCalls;
  private readonly probe: MachineProbe;
  /** Set while this process is behind: starts then go in replies, where each costs less than in a push. */
  isBusy = false;

  constructor(
    private readonly epoch: Epoch,
    private readonly placements: PlacementIndex,
    private readonly observer: StatusObserver,
    private readonly deps: CommandSenderDependencies,
  ) {
    this.calls = new WorkerCalls(epoch, placements.fleet, deps, {
      onCallEnded: (machine) => this.schedulePush(machine.id),
    });
    this.probe = new MachineProbe({
      calls: this.calls,
      jobs: this.jobs,
      observer,
      deps,
      hasAuthority: () => this.hasAuthority,
    });
  }

  close(): void {
    this.calls.close();
  }

  private get jobs(): ReadonlyMap<JobId, Job> {
    return this.placements.ledger.jobs;
  }

  private get hasAuthority(): boolean {
    return this.deps.authority() === this.epoch;
  }

  /** Pushes what is due for a machine at the end of this turn, together with that for other machines. */
  schedulePush(id: MachineId): void {
    const machine = this.placements.fleet.machines.get(id);
    if (!machine) return;
    this.pendingPushes.add(machine);
    if (this.pushScheduled) return;
    this.pushScheduled = true;
    this.deps.clock.after(ms(0), () => {
      this.pushScheduled = false;
      this.pushPending();
    });
  }

  /** Machines for which no socket is free stay pending; the replies to their heartbeats carry the commands too. */
  private pushPending(): void {
    for (const machine of this.pendingPushes) {
      if (!this.calls.hasFreeSocket) return;
      this.pendingPushes.delete(machine);
      if (machine.commandInFlight || !this.canReach(machine)) continue;
      const push = preparePush(machine, this.jobs, !this.isBusy);
      if (push.commands.length > 0) this.calls.start(machine, () => this.push(machine, push));
    }
  }

  /** Whether a command can be pushed to a machine now, or as soon as the one in flight is answered. */
  canReach(machine: Machine): boolean {
    if (this.calls.isClosed || !machine.isUp || !machine.address || !machine.status) return false;
    if (machine.deleteSent) return false;
    const now = this.deps.clock.steady();
    return now >= machine.commandsPausedUntil && now <= machine.leaseExpiresAt && this.hasAuthority;
  }

  private async push(machine: Machine, { commands, started }: Push): Promise<void> {
    const wasUnconfirmed = machine.isUnconfirmed(this.epoch);
    const timeout = wasUnconfirmed ? UNCONFIRMED_CALL_TIMEOUT : WORKER_CALL_TIMEOUT;
    const { outcome, reason, status } = await this.calls.send(machine, commands, timeout);
    if (this.calls.isClosed) return;
    if (outcome === 'answered') {
      // Executed or refused: either way nothing of it is in flight any more.
      for (const attempt of started) machine.pushedStarts.noteAcknowledged(attempt);
      if (status && this.calls.recordReply(machine, status))
        this.observer.observe(machine, status, 'commandReply');
      return;
    }
    this.deps.log.info({ machine: machine.id, reason }, 'command not answered');
    machine.commandsPausedUntil = later(this.deps.clock.steady(), PUSH_PAUSE);
    if (outcome !== 'undelivered') return;
    for (const attempt of started) machine.pushedStarts.noteUndelivered(attempt);
    if (wasUnconfirmed && machine.isUnconfirmed(this.epoch)) this.requeueUnsent(machine, started);
  }

  /** Starts that were never sent need no proof of absence. */
  private requeueUnsent(machine: Machine, started: readonly string[]): void {
    const unsent = new Set(started);
    for (const [key, assigned] of [...machine.assignments]) {
      const job = this.jobs.get(assigned.job);
      const placement = job?.placements.get(assigned.index);
      if (!job || !placement || placement.sentInReplyTo || placement.isReported) continue;
      if (!unsent.has(attemptKey(key, assigned.attempt))) continue;
      this.placements.requeueTask(job, assigned.index, 'its start was not sent');
    }
  }

  /** Probes machines that seem not to receive, or of which only stale statuses arrive. */
  probeSilent(machines: Iterable<Machine>, silenceThreshold: DurationMs): void {
    this.probe.probeDue(machines, silenceThreshold);
  }
}
