/** Backoff of machines and jobs after a task that failed or was refused. */
import type { Logger } from 'pino';
import type { Machine } from '../fleet/machine.js';
import type { Job } from '../ledger/job.js';
import { later, ms, seconds, type SteadyMs } from '../units/index.js';
import { ExitReason, type TaskStatus } from '../wire/index.js';

/** A job that has failed on this many machines probably causes the failures itself. */
const MAX_FAILED_MACHINES_PER_JOB = 3;
/** The first quarantine of a machine, and half of the first backoff of a job. */
const BASE_FAILURE_BACKOFF = seconds(15);
/** The quarantine of a machine grows with each of its failures, up to this multiple of `BASE_FAILURE_BACKOFF`. */
const MAX_QUARANTINE_FACTOR = 4;
/** The limit of each backoff: a task must not wait for minutes while resources are free. */
const MAX_FAILURE_BACKOFF = seconds(60);
const REFUSAL_BACKOFF = seconds(2);

/** Quarantines machines and delays jobs. */
export class FailureBackoff {
  constructor(private readonly log: Logger) {}

  /** Handles the exit of a placed task of the job that has not completed. */
  onTaskExited(
    machine: Machine,
    job: Job,
    { exitReason }: Pick<TaskStatus, 'exitReason'>,
    now: SteadyMs,
  ): void {
    switch (exitReason) {
      case ExitReason.failed:
        this.recordFailure(machine, job, now);
        break;
      case ExitReason.insufficientResources:
      case ExitReason.attemptConflict:
        machine.quarantinedUntil = later(now, REFUSAL_BACKOFF);
        break;
      case ExitReason.unknownTask:
        job.backoffUntil = later(now, REFUSAL_BACKOFF);
        break;
      default:
    }
  }

  /** Treats the machine as the likely cause: it is quarantined, and the job avoids it for longer. */
  private recordFailure(machine: Machine, job: Job, now: SteadyMs): void {
    machine.failureCount++;
    job.avoidedMachines.set(machine.id, later(now, MAX_FAILURE_BACKOFF));
    const factor = Math.min(MAX_QUARANTINE_FACTOR, machine.failureCount);
    machine.quarantinedUntil = later(now, ms(BASE_FAILURE_BACKOFF * factor));
    if (job.avoidedMachines.size >= MAX_FAILED_MACHINES_PER_JOB) this.backOffJob(job, now);
  }

  /** Treats a job that failed on several machines as the likely cause, so that it cannot quarantine the whole fleet. */
  private backOffJob(job: Job, now: SteadyMs): void {
    job.backoffCount++;
    job.avoidedMachines.clear();
    const backoff = Math.min(MAX_FAILURE_BACKOFF, BASE_FAILURE_BACKOFF * 2 ** job.backoffCount);
    job.backoffUntil = later(now, ms(backoff));
    this.log.warn(
      { job: job.id, team: job.spec.team },
      'job failed on several machines; its tasks wait for a backoff',
    );
  }
}
