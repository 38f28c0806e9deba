/** Room to have standing by, so that the next job of a class that must start at once finds it. */
import type { Objective } from '../config/settings.js';
import { isGang } from '../ledger/job.js';
import { isUrgent } from '../ledger/queue.js';
import type { Reserve } from '../placer/placer.js';
import { seconds, since, type SteadyMs } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';

/** How much of a new submission counts in the running mean. */
const WEIGHT = 0.2;
const ROOM = 2;
/** An image without such work for this long gets no room. */
const FORGET = seconds(180);
/** The most of the fleet that is kept free for one image. */
const MOST_SHARE = 0.1;

interface Seen {
  /** Of the submission last seen: what kind of room is wanted. */
  spec: JobSpec;
  mean: number;
  at: SteadyMs;
}

/** What urgent work, and gangs whose start users wait for, have been coming lately, by image. */
export class StandbyWork {
  private readonly seen = new Map<string, Seen>();
  private readonly awaitedClasses: ReadonlySet<string>;

  constructor(objectives: readonly Objective[]) {
    const awaited = objectives.filter((o) => o.kind === 'wait' && o.docket !== undefined);
    this.awaitedClasses = new Set(awaited.map((o) => o.docket ?? ''));
  }

  /**
   * Whether room is kept for jobs like this one: urgent ones, and gangs whose users wait for their start.
   * Ordinary arrays start task by task in what room there is; room for them would be paid for by all.
   */
  isExpected(spec: JobSpec): boolean {
    return isUrgent(spec.priority) || (isGang(spec) && this.awaitedClasses.has(spec.jobClass));
  }

  note(spec: JobSpec, now: SteadyMs): void {
    if (!this.isExpected(spec)) return;
    const cpus = spec.taskCount * spec.cpus;
    const known = this.seen.get(spec.image);
    this.seen.set(spec.image, {
      spec,
      mean: known ? known.mean + WEIGHT * (cpus - known.mean) : cpus,
      at: now,
    });
  }

  reserve(fleetCpus: number, now: SteadyMs): Reserve {
    this.forget(now);
    const most = fleetCpus * MOST_SHARE;
    return new Map([...this.seen].map(([image, { mean }]) => [image, Math.min(mean * ROOM, most)]));
  }

  /** The next submission of each kind, as it were: what room to have standing by for. */
  expected(fleetCpus: number, now: SteadyMs): { spec: JobSpec; count: number }[] {
    this.forget(now);
    const most = fleetCpus * MOST_SHARE;
    return [...this.seen.values()].map(({ spec, mean }) => ({
      spec,
      count: Math.ceil(Math.min(mean, most) / spec.cpus),
    }));
  }

  /** Also while nothing waits: machines that stand by for what does not come any more cost as much as others. */
  private forget(now: SteadyMs): void {
    for (const [image, { at }] of this.seen) {
      if (since(at, now) > FORGET) this.seen.delete(image);
    }
  }
}
