/** Probes machines whose heartbeats arrive but which seem to receive no responses, or repeat old messages. */
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
import type { StatusObserver } from './direct-command-sender.js';
import type { StartFencing } from './start-fencing.js';
import type { TermDependencies } from './term-dependencies.js';
import {
  UNCONFIRMED_MACHINE_REQUEST_TIMEOUT,
  type WorkerRequestSender,
} from './worker-request-sender.js';

/** Minimum interval between probes of the same machine. */
const PROBE_INTERVAL = seconds(4);
/** Maximum number of probes that start in one call of `probeDueMachines`. */
const MAX_PROBES_PER_CALL = 8;

/** Dependencies of the prober. */
export interface MachineProberOptions {
  readonly requestSender: WorkerRequestSender;
  readonly fencing: Pick<StartFencing, 'tokenForRequest'>;
  readonly jobs: ReadonlyMap<JobId, Job>;
  readonly observer: StatusObserver;
  readonly deps: Pick<TermDependencies, 'clock' | 'log' | 'settings'>;
  /** Whether this controller may send commands under its epoch at present. */
  readonly hasAuthority: () => boolean;
}

/** Sends requests without commands to machines, in order to get their status. */
export class MachineProber {
  constructor(private readonly options: MachineProberOptions) {}

  /**
   * Probes the suspect machines for which a probe is due.
   *
   * @param silenceThreshold time without a fresh heartbeat after which a machine counts as silent
   */
  probeDueMachines(machines: Iterable<Machine>, silenceThreshold: DurationMs): void {
    const now = this.options.deps.clock.steady();
    let probesLeft = MAX_PROBES_PER_CALL;
    for (const machine of machines) {
      if (probesLeft <= 0) return;
      if (!isSuspect(machine, silenceThreshold, now) || !this.canProbe(machine, now)) continue;
      machine.probedAt = now;
      probesLeft--;
      this.options.requestSender.startExchange(machine, () => this.probe(machine));
    }
  }

  private canProbe(machine: Machine, now: SteadyMs): boolean {
    if (machine.probedAt !== undefined && durationBetween(machine.probedAt, now) < PROBE_INTERVAL)
      return false;
    return (
      machine.isUp &&
      !machine.hasCommandInFlight &&
      !machine.isDeleteSent &&
      this.options.hasAuthority()
    );
  }

  private async probe(machine: Machine): Promise<void> {
    const { requestSender, fencing, observer, deps } = this.options;
    const statusBefore = machine.status;
    const { status } = await requestSender.sendRequest(machine, {
      fencingToken: fencing.tokenForRequest(machine),
      commands: [],
      timeout: UNCONFIRMED_MACHINE_REQUEST_TIMEOUT,
    });
    if (requestSender.isClosed || !status || !statusBefore) return;
    const now = deps.clock.steady();
    machine.recordDelivery();
    // The worker created the status after the request, so a status that counts as older shows a machine restart.
    if (!isAfter(status, statusBefore)) this.recordRestart(machine, status, now);
    else if (!requestSender.recordResponse(machine, status)) return;
    observer.observe(machine, status, 'commandResponse');
  }

  private recordRestart(machine: Machine, status: WorkerStatus, now: SteadyMs): void {
    const { deps, jobs } = this.options;
    deps.log.warn(
      { machine: machine.id },
      'machine has restarted and numbers its sessions or messages from the start; accepting its new status',
    );
    machine.onRestart(status, now);
    machine.extendLease(workerLeaseEnd(now, deps.settings.workers.lease));
    // The responses that carried start commands went to the machine before its restart.
    for (const assigned of machine.assignments.values()) {
      const placement = jobs.get(assigned.job)?.placements.get(assigned.index);
      if (placement) delete placement.startSentInResponseTo;
    }
  }
}

/** Whether a machine seems not to receive messages, or only stale statuses arrive from it. */
function isSuspect(machine: Machine, silenceThreshold: DurationMs, now: SteadyMs): boolean {
  if (machine.notReceivingSince !== undefined) return true;
  const { staleStatusAt, lastStatusAt } = machine;
  return (
    staleStatusAt !== undefined &&
    durationBetween(staleStatusAt, now) < silenceThreshold &&
    lastStatusAt !== undefined &&
    durationBetween(lastStatusAt, now) > silenceThreshold / 2
  );
}
