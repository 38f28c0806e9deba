import type { Reserve } from '../placer/placer.js';
import { seconds, since, type SteadyMs } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';

/** How much of a new submission counts in the running mean. */
const WEIGHT = 0.2;
const ROOM = 2;
/** An image without urgent work for this long gets no room. */
const FORGET = seconds(180);
/** The most of the fleet that is kept free. */
const MOST_SHARE = 0.1;

interface Seen {
  /** Of the submission last seen: what kind of room is wanted. */
  spec: JobSpec;
  mean: number;
  at: SteadyMs;
}

/** What urgent work has been coming lately, by image: the room to keep for more of it. */
export class UrgentWork {
  private readonly seen = new Map<string, Seen>();

  static is(s: Pick<JobSpec, 'urgency'>): boolean {
    return s.urgency === 'prod' || s.urgency === 'high';
  }

  note(s: JobSpec, now: SteadyMs): void {
    if (!UrgentWork.is(s)) return;
    const cpus = s.entries * s.vcpus;
    const known = this.seen.get(s.bundle);
    this.seen.set(s.bundle, {
      spec: s,
      mean: known ? known.mean + WEIGHT * (cpus - known.mean) : cpus,
      at: now,
    });
  }

  reserve(fleetCpus: number, now: SteadyMs): Reserve {
    const out = new Map<string, number>();
    for (const [image, s] of this.seen) {
      if (since(s.at, now) > FORGET) this.seen.delete(image);
      else out.set(image, Math.min(s.mean * ROOM, fleetCpus * MOST_SHARE));
    }
    return out;
  }

  /** The next submission of each kind, as it were: what room to have standing by for. */
  expected(fleetCpus: number): { spec: JobSpec; count: number }[] {
    const most = fleetCpus * MOST_SHARE;
    return [...this.seen.values()].map(({ spec, mean }) => ({
      spec,
      count: Math.ceil(Math.min(mean, most) / spec.vcpus),
    }));
  }
}
