/** Room to have standing by, so that the next job of a class that must start at once finds it. */
import type { Objective } from '../config/settings.js';
import { isGang } from '../ledger/job.js';
import { isUrgent } from '../ledger/queue-order.js';
import type { ImageReserve } from '../placer/placer.js';
import { seconds, since, type SteadyMs } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';

/** How much of a new submission counts in the running mean. */
const MEAN_WEIGHT = 0.2;
const RESERVE_FACTOR = 2;
/** An image without such work for this long gets no room. */
const FORGET_AFTER = seconds(180);
/** The most of the fleet that is kept free for one image. */
const MAX_RESERVE_SHARE = 0.1;

interface RecentSubmissions {
  /** Of the submission last seen: what kind of room is wanted. */
  spec: JobSpec;
  meanCpus: number;
  lastSeenAt: SteadyMs;
}

/** What urgent work, and gangs whose start users wait for, have been coming lately, by image. */
export class AnticipatedWork {
  private readonly seenByImage = new Map<string, RecentSubmissions>();
  private readonly awaitedClasses: ReadonlySet<string>;

  constructor(objectives: readonly Objective[]) {
    const awaited = objectives.filter((o) => o.kind === 'wait' && o.jobClass !== undefined);
    this.awaitedClasses = new Set(awaited.map((o) => o.jobClass ?? ''));
  }

  /**
   * Whether room is kept for jobs like this one: urgent ones, and gangs whose users wait for their start.
   * Ordinary arrays start task by task in what room there is; room for them would be paid for by all.
   */
  isAnticipated(spec: JobSpec): boolean {
    return isUrgent(spec.priority) || (isGang(spec) && this.awaitedClasses.has(spec.jobClass));
  }

  noteSubmission(spec: JobSpec, now: SteadyMs): void {
    if (!this.isAnticipated(spec)) return;
    const cpus = spec.taskCount * spec.cpus;
    const known = this.seenByImage.get(spec.image);
    this.seenByImage.set(spec.image, {
      spec,
      meanCpus: known ? known.meanCpus + MEAN_WEIGHT * (cpus - known.meanCpus) : cpus,
      lastSeenAt: now,
    });
  }

  reserve(fleetCpus: number, now: SteadyMs): ImageReserve {
    this.forget(now);
    const most = fleetCpus * MAX_RESERVE_SHARE;
    return new Map(
      [...this.seenByImage].map(([image, { meanCpus: mean }]) => [
        image,
        Math.min(mean * RESERVE_FACTOR, most),
      ]),
    );
  }

  /** The next submission of each kind, as it were: what room to have standing by for. */
  anticipated(fleetCpus: number, now: SteadyMs): { spec: JobSpec; count: number }[] {
    this.forget(now);
    const most = fleetCpus * MAX_RESERVE_SHARE;
    return [...this.seenByImage.values()].map(({ spec, meanCpus: mean }) => ({
      spec,
      count: Math.ceil(Math.min(mean, most) / spec.cpus),
    }));
  }

  /** Also while nothing waits: machines that stand by for what does not come any more cost as much as others. */
  private forget(now: SteadyMs): void {
    for (const [image, { lastSeenAt: at }] of this.seenByImage) {
      if (since(at, now) > FORGET_AFTER) this.seenByImage.delete(image);
    }
  }
}
