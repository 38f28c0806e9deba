/**
 * Forecasts work that must start at once when it is submitted, so that capacity for it can be kept free. The forecast
 * is an exponential moving average of the processors that such submissions asked for, one for each image.
 */
import type { Objective } from '../config/settings.js';
import { isGang } from '../ledger/job.js';
import { isUrgent } from '../ledger/queue-order.js';
import type { ImageReserve } from '../placer/placer.js';
import { seconds, durationBetween, type SteadyMs } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';

/** Smoothing factor: the weight of the newest submission in the moving average. */
const SMOOTHING_FACTOR = 0.2;
/** The reserve that running machines keep, as a multiple of the average submission. */
const RESERVE_FACTOR = 2;
/** An image for which no such work was submitted for this long is not expected again. */
const MAX_SUBMISSION_AGE = seconds(180);
/** The largest share of the fleet's processors that is kept free for one image. */
const MAX_RESERVE_SHARE = 0.1;

interface RecentSubmissions {
  /** Of the newest submission: stands for the next one. */
  readonly spec: JobSpec;
  /** Exponential moving average of the processors that a submission asked for. */
  readonly averageCpus: number;
  readonly lastSubmittedAt: SteadyMs;
}

/** A submission to be expected: so many tasks like those of `spec`. */
export interface AnticipatedSubmission {
  readonly spec: JobSpec;
  readonly count: number;
}

/**
 * Recent submissions of urgent jobs, and of gangs whose users wait for their start, by image.
 *
 * The first submission with an image sets the average of that image; each later one moves it by `SMOOTHING_FACTOR` of
 * the difference. An image is dropped when nothing was submitted with it for `MAX_SUBMISSION_AGE`.
 */
export class DemandForecast {
  private readonly recentByImage = new Map<string, RecentSubmissions>();
  /** Job classes with an objective on the time until they start. */
  private readonly awaitedClasses = new Set<string>();

  constructor(objectives: readonly Objective[]) {
    for (const { kind, jobClass } of objectives)
      if (kind === 'wait' && jobClass !== undefined) this.awaitedClasses.add(jobClass);
  }

  /**
   * Whether capacity is kept free for jobs like this one: urgent ones, and gangs whose users wait for their start.
   * Other arrays start task by task in the capacity there is, which costs less than keeping some free for them.
   */
  isAnticipated(spec: JobSpec): boolean {
    return isUrgent(spec.priority) || (isGang(spec) && this.awaitedClasses.has(spec.jobClass));
  }

  /** Takes a submission into the average of its image, if it is of the kind that is anticipated. */
  recordSubmission(spec: JobSpec, now: SteadyMs): void {
    if (!this.isAnticipated(spec)) return;
    const cpus = spec.taskCount * spec.cpus;
    const recent = this.recentByImage.get(spec.image);
    this.recentByImage.set(spec.image, {
      spec,
      averageCpus: recent
        ? recent.averageCpus + SMOOTHING_FACTOR * (cpus - recent.averageCpus)
        : cpus,
      lastSubmittedAt: now,
    });
  }

  /** Processors to keep free on machines that hold each image, given those of the whole fleet. */
  reservedCpus(fleetCpus: number, now: SteadyMs): ImageReserve {
    this.dropOld(now);
    const maxCpus = fleetCpus * MAX_RESERVE_SHARE;
    return new Map(
      [...this.recentByImage].map(([image, { averageCpus }]) => [
        image,
        Math.min(averageCpus * RESERVE_FACTOR, maxCpus),
      ]),
    );
  }

  /** The next submission with each image, by which capacity is rented ahead. */
  anticipatedSubmissions(fleetCpus: number, now: SteadyMs): AnticipatedSubmission[] {
    this.dropOld(now);
    const maxCpus = fleetCpus * MAX_RESERVE_SHARE;
    return [...this.recentByImage.values()].map(({ spec, averageCpus }) => ({
      spec,
      count: Math.ceil(Math.min(averageCpus, maxCpus) / spec.cpus),
    }));
  }

  /** Called by each reader, so that idle machines are not paid for after such work has stopped coming. */
  private dropOld(now: SteadyMs): void {
    for (const [image, { lastSubmittedAt }] of this.recentByImage) {
      if (durationBetween(lastSubmittedAt, now) > MAX_SUBMISSION_AGE)
        this.recentByImage.delete(image);
    }
  }
}
