/** How far a job has come. The answers to its user are ordered by it. */
import { jobStatusOf, type Job, type JobProgress } from './job.js';
import { JobStatus } from '../wire/index.js';

/** The phases in their order. After an answer of one phase, a user must not get one of an earlier phase. */
export const JobPhase = {
  /** The job is not accepted. */
  absent: 0,
  /** The job is accepted; its tasks wait or run. */
  accepted: 1,
  /** The job is done or cancelled. */
  ended: 2,
} as const;
export type JobPhase = (typeof JobPhase)[keyof typeof JobPhase];

/** The phase of a job with this status. */
export const phaseOfStatus = (status: JobStatus): JobPhase =>
  status === JobStatus.done || status === JobStatus.cancelled ? JobPhase.ended : JobPhase.accepted;

/** The phase that the record of a job in the store tells. */
export const storedPhaseOf = (job: Job): JobPhase =>
  job.revision === 0 ? JobPhase.absent : phaseOfProgress(job, job.committedProgress);

/** The phase that the next record of a job tells. */
export const nextPhaseOf = (job: Job): JobPhase => phaseOfProgress(job, job.progress());

const phaseOfProgress = (job: Job, progress: JobProgress): JobPhase =>
  phaseOfStatus(jobStatusOf(progress, job.spec.taskCount));
