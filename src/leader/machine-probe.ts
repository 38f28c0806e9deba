/** Probes of machines whose heartbeats arrive, but which seem not to receive anything, or repeat old messages. */
import type { Machine } from '../fleet/machine.js';
import { workerLeaseEnd } from '../fleet/worker-lease.js';
import { isAfter, type WorkerStatus } from '../fleet/worker-status.js';
import type { Job } from '../ledger/job.js';
import {
  seconds,
  durationBetween,
  type DurationMs,
  type JobId,
  type SteadyMs,
} from '../units/index.js';
import type { StatusObserver } from './command-sender.js';
import type { TermDependencies } from './term-dependencies.js';
import { UNCONFIRMED_CALL_TIMEOUT, type WorkerCalls } from './worker-calls.js';

/** How often a machine is probed. */
const PROBE_INTERVAL = seconds(4);
/** How many probes start at a time. */
const MAX_PROBES = 8;

/** What the probe uses. */
export interface MachineProbeOptions {
  readonly calls: WorkerCalls;
  readonly jobs: ReadonlyMap<JobId, Job>;
  readonly observer: StatusObserver;
  readonly deps: Pick<TermDependencies, 'clock' | 'log' | 'settings'>;
  /** Whether commands may be sent under the current epoch now. */
  readonly hasAuthority: () => boolean;
}

/** Calls machines without commands, just for their status. */
export class MachineProbe {
  constructor(private readonly options: MachineProbeOptions) {}

  /**
   * Probes the machines for which that is due.
   *
   * @param silenceThreshold after this time without a fresh heartbeat, a machine counts as silent
   */
  probeDue(machines: Iterable<Machine>, silenceThreshold: DurationMs): void {
    const now = this.options.deps.clock.steady();
    let probesLeft = MAX_PROBES;
    for (const machine of machines) {
      if (probesLeft <= 0) return;
      if (!isSuspect(machine, silenceThreshold, now) || !this.canProbe(machine, now)) continue;
      machine.probedAt = now;
      probesLeft--;
      this.options.calls.start(machine, () => this.probe(machine));
    }
  }

  private canProbe(machine: Machine, now: SteadyMs): boolean {
    if (machine.probedAt !== undefined && durationBetween(machine.probedAt, now) < PROBE_INTERVAL)
      return false;
    return (
      machine.isUp && !machine.commandInFlight && !machine.deleteSent && this.options.hasAuthority()
    );
  }

  private async probe(machine: Machine): Promise<void> {
    const { calls, observer, deps } = this.options;
    const statusBefore = machine.status;
    const { status } = await calls.send(machine, [], UNCONFIRMED_CALL_TIMEOUT);
    if (calls.isClosed || !status || !statusBefore) return;
    const now = deps.clock.steady();
    machine.noteReceiving();
    // The status was made after the call, so one that counts as older comes from a restarted machine.
    if (!isAfter(status, statusBefore)) this.recordRestart(machine, status, now);
    else if (!calls.recordReply(machine, status)) return;
    observer.observe(machine, status, 'commandReply');
  }

  private recordRestart(machine: Machine, status: WorkerStatus, now: SteadyMs): void {
    const { deps, jobs } = this.options;
    deps.log.warn({ machine: machine.id }, 'machine numbers its messages from the start again');
    machine.noteRestarted(status, now);
    machine.extendLease(workerLeaseEnd(now, deps.settings.workers.lease));
    // Replies that carried starts went to the machine as it was before the restart.
    for (const assigned of machine.assignments.values()) {
      const placement = jobs.get(assigned.job)?.placements.get(assigned.index);
      if (placement) delete placement.sentInReplyTo;
    }
  }
}

/** Whether a machine seems not to receive, or only stale statuses of it arrive. */
function isSuspect(machine: Machine, silenceThreshold: DurationMs, now: SteadyMs): boolean {
  if (machine.notReceivingSince !== undefined) return true;
  const { staleStatusAt, lastStatusAt: lastHeardAt } = machine;
  return (
    staleStatusAt !== undefined &&
    durationBetween(staleStatusAt, now) < silenceThreshold &&
    lastHeardAt !== undefined &&
    durationBetween(lastHeardAt, now) > silenceThreshold / 2
  );
}
