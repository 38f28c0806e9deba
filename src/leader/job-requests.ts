/** Handles users' requests to submit, read and cancel jobs, as the leader of one epoch. */
import type { KnownFinalState } from '../ledger/final-state-cache.js';
import { JobPhase, storedPhaseOf } from '../ledger/job-phase.js';
import { STORE_READ_TTL, type JobRecords, type StoredJob } from '../ledger/job-records.js';
import { Job, WritePriority } from '../ledger/job.js';
import type { Ledger } from '../ledger/ledger.js';
import {
  JobId,
  Revision,
  durationBetween,
  ms,
  type Clock,
  type DurationMs,
  type SteadyMs,
} from '../units/index.js';
import type { JobSpec } from '../wire/index.js';
import type { DirectCommandSender } from './direct-command-sender.js';
import type { PlacementIndex } from './placement-index.js';
import { isStartUnsent } from './placement-state.js';
import type { Scheduler } from './scheduler.js';

/** A submission that would wait longer than this before it can be written is refused at once. */
const MAX_ADMISSION_WAIT = ms(1000);

/** A job whose state the leader knows. */
type KnownJob =
  /** The job has not finished. While its revision is 0, it is not committed yet. */
  | { readonly kind: 'live'; readonly job: Job }
  /** The job has finished. This is permanent. */
  | ({ readonly kind: 'final' } & KnownFinalState);

/** The result of looking up a job. */
export type JobLookupResult =
  | KnownJob
  /** No record of the job exists. */
  | { readonly kind: 'absent' }
  /** No record of the job existed when the store was asked, but that was so long ago that there may be one now. */
  | { readonly kind: 'absentBefore' }
  /** The state of the job cannot be determined at the moment. */
  | { readonly kind: 'unknown' };

/** The outcome of a submission. A repeated submission gets the result of looking up the job. */
export type SubmitOutcome =
  | JobLookupResult
  /** This submission created the job, and the job is committed. */
  | { readonly kind: 'created' }
  /** The job could not be written soon; `wait` estimates how long that would take. */
  | { readonly kind: 'busy'; readonly wait: DurationMs };

const UNKNOWN_JOB: JobLookupResult = { kind: 'unknown' };

/** The dependencies of job requests on the rest of the term. */
export interface JobRequestDependencies {
  readonly ledger: Ledger;
  readonly placements: PlacementIndex;
  readonly commands: Pick<DirectCommandSender, 'scheduleDirectCommands'>;
  readonly scheduler: Pick<Scheduler, 'forecast' | 'schedulePlacement' | 'placeNow'>;
  readonly jobRecords: Pick<JobRecords, 'lookUp'>;
  readonly clock: Clock;
}

/** Submits, finds and cancels jobs under one epoch. */
export class JobRequests {
  private isClosed = false;
  private readonly startedAt: SteadyMs;

  constructor(private readonly deps: JobRequestDependencies) {
    this.startedAt = deps.clock.steady();
  }

  /** Ends lookups in the store: from now on, jobs that are not in memory are unknown. */
  close(): void {
    this.isClosed = true;
  }

  /** Creates the job unless it exists. Resolves once the job is committed or the outcome is unknown. */
  async submit(spec: JobSpec): Promise<SubmitOutcome> {
    const id = JobId(spec.id);
    const known = this.findInMemory(id);
    if (known) return this.resubmit(id, known);
    // A job that cannot be written soon is refused at once, with the time after which to retry.
    const wait = this.deps.ledger.admissionWait();
    if (wait > MAX_ADMISSION_WAIT) return { kind: 'busy', wait };
    return this.create(id, spec);
  }

  private async resubmit(id: JobId, known: KnownJob): Promise<JobLookupResult> {
    if (known.kind === 'live' && known.job.revision === 0) {
      await this.deps.ledger.whenCommitted(known.job);
    }
    return (await this.findLatestInMemory(id)) ?? UNKNOWN_JOB;
  }

  private async create(id: JobId, spec: JobSpec): Promise<SubmitOutcome> {
    const { clock, ledger, scheduler } = this.deps;
    const job = new Job(id, spec, clock.wall(), Revision(0));
    job.markChanged(WritePriority.userRequest);
    ledger.insert(job);
    scheduler.forecast.recordSubmission(spec, clock.steady());
    // Tasks that fit on a machine now are placed in the same transaction that creates the job, if there is time.
    scheduler.placeNow();
    const isCommitted = await ledger.whenCommitted(job);
    const latest = await this.findLatestInMemory(id);
    if (latest?.kind === 'final') return latest;
    if (latest?.kind !== 'live' || latest.job.revision === 0) return UNKNOWN_JOB;
    // The job may also have been cancelled while it was being written.
    const isCreated = isCommitted && latest.job === job && !job.isCancelled;
    return isCreated ? { kind: 'created' } : latest;
  }

  /** Looks up the job in memory, and in the store if it is not in memory. */
  async find(id: JobId): Promise<JobLookupResult> {
    const known = await this.findCommittedInMemory(id);
    if (known) return known;
    const requestedAt = this.deps.clock.steady();
    const stored = await this.deps.jobRecords.lookUp(id);
    if (this.isClosed) return UNKNOWN_JOB;
    // The job may have been submitted here while it was looked up.
    return (await this.findCommittedInMemory(id)) ?? this.adoptStored(id, stored, requestedAt);
  }

  /** Looks up the job in memory; undefined if it is not there, unknown while its creation is not committed. */
  private async findCommittedInMemory(id: JobId): Promise<JobLookupResult | undefined> {
    const known = await this.findLatestInMemory(id);
    return known?.kind === 'live' && known.job.revision === 0 ? UNKNOWN_JOB : known;
  }

  /** The result for a job that was looked up in the store, since it was not in memory. */
  private adoptStored(id: JobId, stored: StoredJob, requestedAt: SteadyMs): JobLookupResult {
    const { clock, ledger } = this.deps;
    switch (stored.kind) {
      case 'live':
        // Another controller wrote the job while it could not reach the leader.
        this.addStoredJob(stored.job);
        return { kind: 'live', job: stored.job };
      case 'final': {
        // Only this term finishes jobs since it began, and keeps those in memory for long.
        const adopted = { final: stored.final, storedBy: this.startedAt };
        ledger.cacheFinalState(id, adopted);
        return { kind: 'final', ...adopted };
      }
      case 'absent': {
        // Another controller may have accepted the job while a late response was in transit.
        const isLate = durationBetween(requestedAt, clock.steady()) > STORE_READ_TTL;
        return isLate ? { kind: 'absentBefore' } : stored;
      }
      case 'unknown':
        return stored;
    }
  }

  /** Whether an answer that tells this phase is still correct, and no record that contradicts it may have been sent. */
  isCurrent(id: JobId, phase: JobPhase): boolean {
    const known = this.findInMemory(id);
    if (!known) return phase === JobPhase.absent;
    if (known.kind === 'final') return phase === JobPhase.ended;
    const { job } = known;
    return (
      phase !== JobPhase.absent && phase === storedPhaseOf(job) && !job.hasTerminalWriteInFlight
    );
  }

  /** Cancels the job. Resolves once the cancellation is committed or its outcome is unknown. */
  async cancel(id: JobId): Promise<JobLookupResult> {
    const found = await this.find(id);
    if (found.kind !== 'live') return found;
    const { job } = found;
    job.cancel();
    // A task whose start was never sent need not be stopped.
    for (const [index, placement] of [...job.placements]) {
      if (isStartUnsent(placement)) this.deps.placements.requeueTask(job, index, 'cancelled');
    }
    const isCommitted = await this.deps.ledger.whenCommitted(job);
    if (!isCommitted) return UNKNOWN_JOB;
    for (const placement of job.placements.values()) {
      this.deps.commands.scheduleDirectCommands(placement.machine);
    }
    return this.findInMemory(id) ?? UNKNOWN_JOB;
  }

  /** Adds a job that was read from the store to the ledger, and assigns its placed tasks to their machines. */
  addStoredJob(job: Job): void {
    const { clock, ledger, placements, scheduler } = this.deps;
    ledger.insert(job);
    scheduler.forecast.recordSubmission(job.spec, clock.steady());
    placements.addJob(job);
    if (job.isFinished) job.markChanged(WritePriority.jobEnd);
    scheduler.schedulePlacement();
  }

  /** Looks up the job in memory; undefined if it is not there. */
  private findInMemory(id: JobId): KnownJob | undefined {
    const job = this.deps.ledger.jobs.get(id);
    if (job) return { kind: 'live', job };
    const known = this.deps.ledger.knownFinalState(id);
    return known && { kind: 'final', ...known };
  }

  /**
   * Looks up the job in memory; undefined if it is not there. While the write of a final record is in flight,
   * another controller may read that record in the store before the leader gets the response. A user must never
   * see an older state after a newer one, so this method waits for the write.
   */
  private async findLatestInMemory(id: JobId): Promise<JobLookupResult | undefined> {
    const known = this.findInMemory(id);
    if (known?.kind !== 'live' || !known.job.hasTerminalWriteInFlight) return known;
    await this.deps.ledger.whenCommitted(known.job);
    const latest = this.findInMemory(id);
    return latest?.kind === 'live' && latest.job.hasTerminalWriteInFlight ? UNKNOWN_JOB : latest;
  }
}
