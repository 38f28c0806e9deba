import type { Beat, Entry } from '../wire/index.js';
import {
  later,
  stretched,
  ms,
  type DurationMs,
  type Endpoint,
  type Epoch,
  type JobId,
  type MachineId,
  type SteadyMs,
  type TaskKey,
} from '../units/index.js';
import { ImageCache } from './images.js';

/** Beyond the drift of clocks: how much later than computed we call a worker's lease expired. */
const LEASE_MARGIN = ms(500);

export interface Assigned {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: number;
}

export interface Place {
  readonly build: string;
  readonly hall: string;
  readonly spot: boolean;
}

/** A worker's report, wherever it came from, in the order that (`shift`, `tally`) gives. */
export interface Report {
  readonly shift: number;
  readonly tally: number;
  readonly baton: number;
  readonly recall: DurationMs | undefined;
  readonly entries: readonly Entry[];
}

export const toReport = (b: Beat): Report => ({
  shift: b.shift,
  tally: b.tally,
  baton: b.baton,
  recall: b.recall_s === null || b.recall_s === undefined ? undefined : ms(b.recall_s * 1000),
  entries: b.entries,
});

export const attemptKey = (entry: string, attempt: number): string => `${entry}#${attempt}`;

/**
 * A machine as this leader knows it: what is placed on it by record (and may be there), what its
 * newest report showed, and what may still arrive there.
 */
export class Machine {
  addr: Endpoint | undefined;
  report: Report | undefined;
  /** Sessions before this one are certainly over; what they send is stale. */
  leastShift = 0;
  /** Heard from under this epoch, and not given up since. */
  up = false;
  lastHeard: SteadyMs | undefined;
  /** When the worker's lease has certainly run out, unless it is answered again. */
  expires: SteadyMs;
  /** When the cloud will take it away, by its own word. */
  recallAt: SteadyMs | undefined;
  /** To be given back or given up: no new tasks. */
  returning = false;
  /** A delete was sent and may be carried out at any time. */
  deleteSent = false;
  rentedAt: SteadyMs | undefined;
  listedAt: SteadyMs | undefined;
  missedLists = 0;
  bootingSince: SteadyMs | undefined;
  /** First listed as running, without having been heard from. */
  runsSince: SteadyMs | undefined;
  idleSince: SteadyMs | undefined;
  /** Refused or failed starts hold the machine back for a while. */
  heldUntil = 0 as SteadyMs;
  faults = 0;
  directUntil = 0 as SteadyMs;
  directBusy = false;
  readonly assigned = new Map<TaskKey, Assigned>();
  /** Attempts whose start was sent directly and not answered: it may still arrive. */
  readonly doubts = new Set<string>();
  readonly images: ImageCache;
  /** What another leader knew of its images has been taken in. */
  hinted = false;

  constructor(
    readonly id: MachineId,
    /** Unknown (empty) for a machine that only a record names, until it is listed or reports. */
    public place: Place,
    cacheGb: number,
    expires: SteadyMs,
  ) {
    this.expires = expires;
    this.images = new ImageCache(cacheGb);
  }

  isNewer(r: Report): boolean {
    if (r.shift < this.leastShift) return false;
    const last = this.report;
    return !last || r.shift > last.shift || (r.shift === last.shift && r.tally > last.tally);
  }

  /** Takes a report in; false if it is older than what we know. */
  take(r: Report, now: SteadyMs): boolean {
    if (!this.isNewer(r)) return false;
    // A new session has dropped the tasks of the old one and refuses its commands.
    if (this.report && r.shift > this.report.shift) this.doubts.clear();
    this.report = r;
    this.up = true;
    this.lastHeard = now;
    this.bootingSince = undefined;
    if (r.recall !== undefined) {
      const at = later(now, r.recall);
      if (this.recallAt === undefined || at < this.recallAt) this.recallAt = at;
    }
    return true;
  }

  /** A 200 was given to a report that arrived now, so it was sent no later. */
  answered(now: SteadyMs, lease: DurationMs): void {
    const expires = leaseEnd(now, lease);
    if (expires > this.expires) this.expires = expires;
  }

  /** The lease has certainly expired: the session is over, with all its tasks. */
  expire(): void {
    if (this.report) this.leastShift = this.report.shift + 1;
    this.report = undefined;
    this.up = false;
    this.doubts.clear();
  }

  entry(key: string): Entry | undefined {
    return this.report?.entries.find((e) => e.entry === key);
  }

  get draining(): boolean {
    return this.returning || this.recallAt !== undefined;
  }
}

export const leaseEnd = (from: SteadyMs, lease: DurationMs): SteadyMs =>
  later(from, ms(stretched(lease) + LEASE_MARGIN));

/**
 * Whether a report proves that an attempt is not on the machine and can't come there any more.
 * `sent`: the report whose answer last carried its start, which a worker carries out before it
 * reports again or never. `inherited`: an earlier leader may have sent it straight to the worker,
 * which refuses that once it has seen our epoch. Only reports of their own (beats) count against
 * `sent`: answers to commands overtake the answer to a report that is under way.
 */
export function provenAbsent(
  report: Report,
  beat: boolean,
  key: string,
  attempt: number,
  how: {
    readonly inherited: boolean;
    readonly sent: { readonly shift: number; readonly tally: number } | undefined;
  },
  doubts: ReadonlySet<string>,
  epoch: Epoch,
): boolean {
  if (report.entries.some((e) => e.entry === key && e.try === attempt && e.status !== 'exited')) {
    return false;
  }
  if (doubts.has(attemptKey(key, attempt))) return false;
  if (how.inherited && report.baton < epoch) return false;
  if (how.sent) {
    if (report.shift > how.sent.shift) return true;
    return beat && report.tally > how.sent.tally;
  }
  return true;
}
