/** How long machines and jobs are kept back after a task that failed or was refused. */
import type { Logger } from 'pino';
import type { Machine } from '../fleet/machine.js';
import type { Job } from '../ledger/job.js';
import { later, ms, seconds, type SteadyMs } from '../units/index.js';
import { ExitReason, type TaskStatus } from '../wire/index.js';

/** A job that has failed on this many machines is probably at fault itself. */
const MAX_FAILED_MACHINES = 3;
/** The first quarantine of a machine, and half of the first back-off of a job. */
const FAILURE_BACKOFF = seconds(15);
/** Of a machine's failures, this many lengthen its quarantine. */
const MAX_QUARANTINE_FACTOR = 4;
/** No back-off is longer: a task must not wait for minutes beside free resources. */
const MAX_FAILURE_BACKOFF = seconds(60);
const REFUSAL_BACKOFF = seconds(2);

/** Quarantines machines and holds jobs back. */
export class FailureBackoff {
  constructor(private readonly log: Logger) {}

  /** A placed task of the job has ended on the machine, other than by completing. */
  noteExit(
    machine: Machine,
    job: Job,
    { exitReason }: Pick<TaskStatus, 'exitReason'>,
    now: SteadyMs,
  ): void {
    switch (exitReason) {
      case ExitReason.failed:
        this.noteFailure(machine, job, now);
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

  /** The machine is suspected first: it is quarantined, and the job avoids it for longer. */
  private noteFailure(machine: Machine, job: Job, now: SteadyMs): void {
    machine.taskFailureCount++;
    job.avoidedMachines.set(machine.id, later(now, MAX_FAILURE_BACKOFF));
    const factor = Math.min(MAX_QUARANTINE_FACTOR, machine.taskFailureCount);
    machine.quarantinedUntil = later(now, ms(FAILURE_BACKOFF * factor));
    if (job.avoidedMachines.size >= MAX_FAILED_MACHINES) this.holdBack(job, now);
  }

  /** Having failed on several machines, the job is suspected: it must not quarantine the whole fleet. */
  private holdBack(job: Job, now: SteadyMs): void {
    job.backoffCount++;
    job.avoidedMachines.clear();
    const backoff = Math.min(MAX_FAILURE_BACKOFF, FAILURE_BACKOFF * 2 ** job.backoffCount);
    job.backoffUntil = later(now, ms(backoff));
    this.log.warn({ job: job.id, team: job.spec.team }, 'job held back after failures');
  }
}
