/** When the store had reached a revision, as far as its responses have shown. */
import { addDuration, seconds, type Revision, type SteadyMs } from '../units/index.js';

/** Nobody needs to know more exactly when an older revision was reached. */
const HISTORY_TIME = seconds(2);

interface RevisionSample {
  readonly at: SteadyMs;
  readonly revision: Revision;
}

/** The revisions in the store's recent responses, and the last one before these. */
export class RevisionHistory {
  /** In the order of time and of revisions. */
  private readonly samples: RevisionSample[] = [];

  /** Records that a response which shows this revision has arrived. */
  record(revision: Revision, now: SteadyMs): void {
    const { samples } = this;
    const newest = samples.at(-1);
    if (newest && newest.revision >= revision) return;
    samples.push({ at: now, revision });
    while (samples[1] && addDuration(samples[1].at, HISTORY_TIME) < now) samples.shift();
  }

  /** A time by which the store had reached a revision that this controller has seen by `now`. */
  reachedBy(revision: Revision, now: SteadyMs): SteadyMs {
    return this.samples.find((sample) => sample.revision >= revision)?.at ?? now;
  }
}
