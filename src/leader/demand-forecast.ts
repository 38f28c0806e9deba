/**
 * Forecasts the demand of jobs that should start as soon as they are submitted, so that capacity for them can be kept
 * free. The forecast for each image is an exponential moving average of the CPUs that such submissions requested.
 */
import type { Objective } from '../config/settings.js';
import { isGang } from '../ledger/job.js';
import { isUrgent } from '../ledger/placement-order.js';
import type { ImageReserve } from '../placer/placer.js';
import { seconds, durationBetween, type SteadyMs } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';

/** Weight of the latest submission in the moving average. */
const SMOOTHING_FACTOR = 0.2;
/** Capacity is kept free on running machines for this many average submissions with an image. */
const RESERVED_SUBMISSION_COUNT = 2;
/** An image is dropped from the forecast if no job of an anticipated kind has used it for this long. */
const MAX_SUBMISSION_AGE = seconds(180);
/** Maximum share of the fleet's CPUs that is kept free for one image. */
const MAX_RESERVED_FLEET_SHARE = 0.1;

interface RecentSubmissions {
  /** Specification of the latest submission, by which the next one is predicted. */
  readonly spec: JobSpec;
  /** Exponential moving average of the CPUs that a submission requests. */
  readonly averageCpus: number;
  readonly lastSubmittedAt: SteadyMs;
}

/** An expected submission: `taskCount` tasks like those of `spec`. */
export interface AnticipatedSubmission {
  readonly spec: JobSpec;
  readonly taskCount: number;
}

/**
 * Tracks recent submissions by image. Only submissions of urgent jobs, and of gangs in a job class with an objective
 * on the time until the start, count.
 *
 * The first submission with an image sets the average of that image. Each later one moves it by `SMOOTHING_FACTOR` of
 * the difference. An image is dropped when no counted submission has used it for `MAX_SUBMISSION_AGE`.
 */
export class DemandForecast {
  private readonly recentByImage = new Map<string, RecentSubmissions>();
  /** Job classes with an objective of the kind `wait`, which limits the time until the start. */
  private readonly waitJobClasses = new Set<string>();

  constructor(objectives: readonly Objective[]) {
    for (const { kind, jobClass } of objectives)
      if (kind === 'wait' && jobClass !== undefined) this.waitJobClasses.add(jobClass);
  }

  /**
   * Whether capacity is kept free for jobs of this kind: urgent ones, and gangs with an objective on the time until the
   * start. The tasks of other jobs start one by one as capacity becomes available, which costs less than keeping it
   * free.
   */
  isAnticipated(spec: JobSpec): boolean {
    return isUrgent(spec.priority) || (isGang(spec) && this.waitJobClasses.has(spec.jobClass));
  }

  /** Updates the average of the submission's image, if submissions of this kind are anticipated. */
  recordSubmission(spec: JobSpec, now: SteadyMs): void {
    if (!this.isAnticipated(spec)) return;
    const cpus = spec.taskCount * spec.cpus;
    const previous = this.recentByImage.get(spec.image);
    this.recentByImage.set(spec.image, {
      spec,
      averageCpus: previous
        ? previous.averageCpus + SMOOTHING_FACTOR * (cpus - previous.averageCpus)
        : cpus,
      lastSubmittedAt: now,
    });
  }

  /** The CPUs to keep free for each image, on machines that hold it. `fleetCpus` are those of the whole fleet. */
  reservedCpus(fleetCpus: number, now: SteadyMs): ImageReserve {
    this.dropOutdated(now);
    const maxCpus = fleetCpus * MAX_RESERVED_FLEET_SHARE;
    return new Map(
      [...this.recentByImage].map(([image, { averageCpus }]) => [
        image,
        Math.min(averageCpus * RESERVED_SUBMISSION_COUNT, maxCpus),
      ]),
    );
  }

  /** The next expected submission with each image, for which capacity is rented in advance. */
  anticipatedSubmissions(fleetCpus: number, now: SteadyMs): AnticipatedSubmission[] {
    this.dropOutdated(now);
    const maxCpus = fleetCpus * MAX_RESERVED_FLEET_SHARE;
    return [...this.recentByImage.values()].map(({ spec, averageCpus }) => ({
      spec,
      taskCount: Math.ceil(Math.min(averageCpus, maxCpus) / spec.cpus),
    }));
  }

  /** Drops outdated images. Each reader calls this, so that no idle machines are paid for once submissions stop. */
  private dropOutdated(now: SteadyMs): void {
    for (const [image, { lastSubmittedAt }] of this.recentByImage) {
      if (durationBetween(lastSubmittedAt, now) > MAX_SUBMISSION_AGE)
        this.recentByImage.delete(image);
    }
  }
}
