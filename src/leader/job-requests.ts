/** Jobs that users submit, ask for and cancel, as the leader of an epoch answers. */
import type { JobRecords } from '../ledger/job-records.js';
import { Job, WritePriority, type FinalState } from '../ledger/job.js';
import type { Ledger } from '../ledger/ledger.js';
import { JobId, Revision, ms, type Clock, type DurationMs } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';
import type { DirectCommandSender } from './direct-command-sender.js';
import type { PlacementIndex } from './placement-index.js';
import { isStartUnsent } from './placement-state.js';
import type { Scheduler } from './scheduler.js';

/** A submission that would wait longer for its turn to be written is refused at once. */
const MAX_ADMISSION_WAIT = ms(1000);

/** A job of which something is certain. */
type KnownJob =
  /** A job that is not over. It is not committed yet while its revision is 0. */
  | { readonly kind: 'live'; readonly job: Job }
  /** A job that is over, which stays so. */
  | { readonly kind: 'final'; readonly final: FinalState };

/** What the leader knows of a job. */
export type JobAnswer =
  | KnownJob
  /** No record holds it. */
  | { readonly kind: 'absent' }
  /** Not known at this moment. */
  | { readonly kind: 'unknown' };

/** What became of a submission; a repeat gets what is known of the job. */
export type SubmitOutcome =
  | JobAnswer
  /** This submission made the job, and the store holds it. */
  | { readonly kind: 'created' }
  /** It could not be written soon: `wait` is about how long that would take. */
  | { readonly kind: 'busy'; readonly wait: DurationMs };

const UNKNOWN: JobAnswer = { kind: 'unknown' };

/** What these requests need of the rest of the term. */
export interface JobRequestDependencies {
  readonly ledger: Ledger;
  readonly placements: PlacementIndex;
  readonly commands: Pick<DirectCommandSender, 'scheduleDirectCommands'>;
  readonly scheduler: Pick<Scheduler, 'forecast' | 'schedulePlacement' | 'placeWaitingTasks'>;
  readonly jobRecords: Pick<JobRecords, 'lookup'>;
  readonly clock: Clock;
}

/** Submits, finds and cancels jobs under one epoch. */
export class JobRequests {
  private closed = false;

  constructor(private readonly deps: JobRequestDependencies) {}

  /** From now on, what is not in memory is unknown. */
  close(): void {
    this.closed = true;
  }

  /** Creates the job unless it is there; resolves once that is committed, or its outcome unknown. */
  async submit(spec: JobSpec): Promise<SubmitOutcome> {
    const id = JobId(spec.id);
    const known = this.inMemory(id);
    if (known) return this.repeat(id, known);
    // What can't be written soon is refused at once, with the time after which to come back.
    const wait = this.deps.ledger.admissionWait();
    if (wait > MAX_ADMISSION_WAIT) return { kind: 'busy', wait };
    return this.create(id, spec);
  }

  private async repeat(id: JobId, known: KnownJob): Promise<JobAnswer> {
    if (known.kind === 'live' && known.job.revision === 0) {
      await this.deps.ledger.whenCommitted(known.job);
    }
    return (await this.latestInMemory(id)) ?? UNKNOWN;
  }

  private async create(id: JobId, spec: JobSpec): Promise<SubmitOutcome> {
    const { clock, ledger, scheduler } = this.deps;
    const job = new Job(id, spec, clock.wall(), Revision(0));
    job.markChanged(WritePriority.userRequest);
    ledger.insert(job);
    scheduler.forecast.recordSubmission(spec, clock.steady());
    // What fits on a machine now is placed in the same transaction that creates the job.
    scheduler.placeWaitingTasks();
    const isCommitted = await ledger.whenCommitted(job);
    const latest = await this.latestInMemory(id);
    if (latest?.kind === 'final') return latest;
    if (latest?.kind !== 'live' || latest.job.revision === 0) return UNKNOWN;
    // It may have been cancelled, too, while it was being written.
    const isCreated = isCommitted && latest.job === job && !job.isCancelled;
    return isCreated ? { kind: 'created' } : latest;
  }

  /** The job as it is, by memory or, if it is not there, by the store. */
  async find(id: JobId): Promise<JobAnswer> {
    const known = await this.latestInMemory(id);
    if (known) return known.kind === 'live' && known.job.revision === 0 ? UNKNOWN : known;
    const stored = await this.deps.jobRecords.lookup(id);
    if (this.closed) return UNKNOWN;
    switch (stored.kind) {
      case 'live':
        // Another node wrote it while it could not reach us.
        if (!this.inMemory(id)) this.adopt(stored.job);
        return this.inMemory(id) ?? UNKNOWN;
      case 'final':
        this.deps.ledger.rememberFinal(id, stored.final);
        return stored;
      case 'absent':
      case 'unknown':
        return stored;
    }
  }

  /** Cancels the job; resolves once that is committed, or its outcome unknown. */
  async cancel(id: JobId): Promise<JobAnswer> {
    const found = await this.find(id);
    if (found.kind !== 'live') return found;
    const { job } = found;
    job.cancel();
    // What was never started need not be stopped.
    for (const [index, placement] of [...job.placements]) {
      if (isStartUnsent(placement)) this.deps.placements.requeueTask(job, index, 'cancelled');
    }
    const isCommitted = await this.deps.ledger.whenCommitted(job);
    if (!isCommitted) return UNKNOWN;
    for (const placement of job.placements.values()) {
      this.deps.commands.scheduleDirectCommands(placement.machine);
    }
    return this.inMemory(id) ?? UNKNOWN;
  }

  /** Takes a job that the store holds into the ledger, and its placements onto their machines. */
  adopt(job: Job): void {
    const { clock, ledger, placements, scheduler } = this.deps;
    ledger.insert(job);
    scheduler.forecast.recordSubmission(job.spec, clock.steady());
    placements.addJob(job);
    if (job.isSettled) job.markChanged(WritePriority.jobEnd);
    scheduler.schedulePlacement();
  }

  /** What is in memory of a job; undefined if nothing is. */
  private inMemory(id: JobId): KnownJob | undefined {
    const job = this.deps.ledger.jobs.get(id);
    if (job) return { kind: 'live', job };
    const final = this.deps.ledger.finalState(id);
    return final ? { kind: 'final', final } : undefined;
  }

  /**
   * What is in memory of a job; undefined if nothing is. While the write that ends the job is under way,
   * another node may read that end in the store before we get the response. No answer may be older than
   * one that was given before, so that write is waited for.
   */
  private async latestInMemory(id: JobId): Promise<JobAnswer | undefined> {
    const known = this.inMemory(id);
    if (known?.kind !== 'live' || !known.job.hasTerminalWriteInFlight) return known;
    await this.deps.ledger.whenCommitted(known.job);
    const latest = this.inMemory(id);
    return latest?.kind === 'live' && latest.job.hasTerminalWriteInFlight ? UNKNOWN : latest;
  }
}
