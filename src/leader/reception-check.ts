/** Detects machines whose heartbeats arrive while nothing that is sent to them does. */
import type { Machine } from '../fleet/machine.js';
import { attemptKey, isAfter, type WorkerStatus } from '../fleet/worker-status.js';
import type { Job } from '../ledger/job.js';
import {
  durationBetween,
  type DurationMs,
  type Epoch,
  type JobId,
  type SteadyMs,
} from '../units/index.js';

/** A new session with more than this share of the old one's lease left shows that a reply was lost. */
const UNEXPIRED_LEASE_SHARE = 0.4;

/**
 * Compares successive heartbeats of a machine. One that receives no replies would keep its tasks for ever,
 * since each of its heartbeats seems to renew its lease.
 */
export class ReceptionCheck {
  constructor(
    private readonly epoch: Epoch,
    private readonly jobs: ReadonlyMap<JobId, Job>,
    private readonly lease: DurationMs,
  ) {}

  /** To be called after a heartbeat has been recorded and before it extends the lease. */
  check(machine: Machine, status: WorkerStatus, previous: WorkerStatus, now: SteadyMs): void {
    if (status.fencingToken >= this.epoch && previous.fencingToken < this.epoch)
      machine.noteReceiving();
    if (previous.fencingToken >= this.epoch && this.hasLostLease(machine, status, previous, now)) {
      machine.notReceivingSince ??= now;
      return;
    }
    const effect = this.effectOfReplies(machine, status);
    if (effect === 'visible') machine.noteReceiving();
    else if (effect === 'missing' || status.fencingToken < this.epoch)
      machine.noteIgnoredReply(now);
  }

  /** Whether the worker lease has expired although the last heartbeat was answered in time. */
  private hasLostLease(
    machine: Machine,
    status: WorkerStatus,
    previous: WorkerStatus,
    now: SteadyMs,
  ): boolean {
    return (
      status.session > previous.session &&
      durationBetween(now, machine.leaseExpiresAt) > this.lease * UNEXPIRED_LEASE_SHARE
    );
  }

  /** Whether the status shows an attempt whose start was sent in a reply, or lacks one that it should show. */
  private effectOfReplies(
    machine: Machine,
    status: WorkerStatus,
  ): 'visible' | 'missing' | 'noneExpected' {
    let isMissing = false;
    for (const [key, assigned] of machine.assignments) {
      const placement = this.jobs.get(assigned.job)?.placements.get(assigned.index);
      if (!placement?.startSentInResponseTo || placement.isReported) continue;
      if (status.byAttempt.has(attemptKey(key, assigned.attempt))) return 'visible';
      isMissing ||= isAfter(status, placement.startSentInResponseTo);
    }
    return isMissing ? 'missing' : 'noneExpected';
  }
}
