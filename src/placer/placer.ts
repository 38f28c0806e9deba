import { EPS, fits, type Size } from '../fleet/size.js';
import type { JobId, MachineId } from '../units/index.js';

/**
 * Where waiting tasks go. Pure and deterministic: what may be on a machine counts as there, jobs
 * are taken in the order given, and each task goes to a machine that holds its image, else to the
 * one that will have it first, else to the freest.
 */
export interface Host {
  readonly id: MachineId;
  readonly build: string;
  readonly hall: string;
  readonly spot: boolean;
  readonly total: Size;
  readonly free: Size;
  /** What a processor of it costs an hour. */
  readonly rate: number;
  readonly fetchGbPerS: number;
  readonly holds: (image: string) => boolean;
  /** Images under way to it. */
  readonly fetching: ReadonlySet<string>;
}

export interface Want {
  readonly id: JobId;
  readonly team: string;
  readonly size: Size;
  readonly image: string;
  readonly imageGb: number;
  readonly builds: readonly string[] | null;
  readonly hall: string | null;
  readonly spot: boolean;
  readonly together: boolean;
  /** The zone that a job kept together is bound to. */
  readonly zone: string | undefined;
  /** The most of its tasks that may be in one zone. */
  readonly perZone: number;
  /** Its tasks that may be on machines, by zone. */
  readonly inZone: ReadonlyMap<string, number>;
  /** The waiting tasks that may be placed now, lowest index first. */
  readonly indexes: Iterable<number>;
  /** All of its waiting tasks are placed at once, or none. */
  readonly whole: boolean;
  /** How many tasks wait in all. */
  readonly count: number;
  /** Machines it must not go to. */
  readonly avoid: ReadonlySet<MachineId>;
  /** Too urgent to be held to the reserve. */
  readonly urgent: boolean;
}

/**
 * Room kept for urgent work to come, by image: on the machines that hold the image, less urgent
 * tasks leave so many processors free, so that an urgent one starts without waiting or fetching.
 */
export type Reserve = ReadonlyMap<string, number>;

export interface TeamRoom {
  cpus: number;
  gpus: number;
}

export interface Assignment {
  readonly job: JobId;
  readonly index: number;
  readonly machine: MachineId;
}

interface Slot {
  readonly host: Host;
  cpus: number;
  gpus: number;
  ramGb: number;
  readonly coming: Set<string>;
  claimed: boolean;
}

/** Prices of one kind move by up to a third each way; only a larger difference is one of kind. */
const DEARER = 1.8;
/** Claimed machines stand partly empty: of those that would suit, no more than this share. */
const MOST_CLAIMED = 0.5;

export function allows(
  want: Pick<Want, 'builds' | 'hall' | 'spot'>,
  host: Pick<Host, 'build' | 'hall' | 'spot'>,
): boolean {
  return (
    (want.builds === null || want.builds.includes(host.build)) &&
    (want.hall === null || want.hall === host.hall) &&
    (want.spot || !host.spot)
  );
}

/** Seconds until the image would be there; machines within the same few seconds count alike. */
function delay(want: Want, slot: Slot): number {
  if (slot.host.holds(want.image)) return 0;
  if (slot.coming.has(want.image)) return 1;
  const s = (want.imageGb / slot.host.fetchGbPerS) * (1 + slot.coming.size);
  return 1 + Math.ceil(s / 2);
}

export function place(
  wants: readonly Want[],
  hosts: readonly Host[],
  teams: ReadonlyMap<string, TeamRoom>,
  most: number,
  reserve: Reserve = new Map(),
): Assignment[] {
  const slots: Slot[] = hosts.map((host) => ({
    host,
    cpus: host.free.cpus,
    gpus: host.free.gpus,
    ramGb: host.free.ramGb,
    coming: new Set(host.fetching),
    claimed: false,
  }));
  // The large machines are left out: what only they can run would pay for it.
  const smallest = Math.min(...hosts.map((h) => h.total.cpus));
  const keeps = (s: Slot, image: string): boolean =>
    s.host.total.cpus === smallest && s.host.holds(image);
  const headroom = new Map<string, number>();
  for (const image of reserve.keys()) {
    let free = 0;
    for (const s of slots) if (keeps(s, image)) free += s.cpus;
    headroom.set(image, free);
  }
  const spare = (slot: Slot, cpus: number): boolean => {
    for (const [image, kept] of reserve) {
      if (keeps(slot, image) && (headroom.get(image) ?? 0) - cpus < kept) return false;
    }
    return true;
  };
  const out: Assignment[] = [];
  for (const want of wants) {
    if (out.length >= most) break;
    const suited = slots.filter(
      (s) => allows(want, s.host) && fits(want.size, s.host.total) && !want.avoid.has(s.host.id),
    );
    const allowed = suited.filter((s) => fits(want.size, s) && !s.claimed);
    let missing = want.count;
    const undo: (() => void)[] = [];
    const first = out.length;
    const room = teams.get(want.team);
    const inZone = new Map(want.inZone);
    let zone = want.zone;
    for (const index of want.indexes) {
      if (out.length >= most) break;
      // A task that would take its team over the limit must not start, whatever is free.
      if (room && (want.size.cpus > room.cpus + EPS || want.size.gpus > room.gpus + EPS)) break;
      let best: Slot | undefined;
      let bestDelay = 0;
      for (const slot of allowed) {
        if (!fits(want.size, slot)) continue;
        if (!want.urgent && !spare(slot, want.size.cpus)) continue;
        if (want.together && zone !== undefined && slot.host.hall !== zone) continue;
        if ((inZone.get(slot.host.hall) ?? 0) >= want.perZone) continue;
        const d = delay(want, slot);
        if (!best || d < bestDelay || (d === bestDelay && better(slot, best))) {
          best = slot;
          bestDelay = d;
        }
      }
      if (!best) break;
      const taken = best;
      undo.push(() => {
        taken.cpus += want.size.cpus;
        taken.gpus += want.size.gpus;
        taken.ramGb += want.size.ramGb;
        if (!room) return;
        room.cpus += want.size.cpus;
        room.gpus += want.size.gpus;
      });
      for (const image of reserve.keys()) {
        if (keeps(best, image)) headroom.set(image, (headroom.get(image) ?? 0) - want.size.cpus);
      }
      best.cpus -= want.size.cpus;
      best.gpus -= want.size.gpus;
      best.ramGb -= want.size.ramGb;
      if (!best.host.holds(want.image)) best.coming.add(want.image);
      if (room) {
        room.cpus -= want.size.cpus;
        room.gpus -= want.size.gpus;
      }
      if (want.together) zone = best.host.hall;
      inZone.set(best.host.hall, (inZone.get(best.host.hall) ?? 0) + 1);
      out.push({ job: want.id, index, machine: best.host.id });
      missing--;
    }
    if (want.whole && missing > 0) {
      // A part of a gang would only hold room that others could use.
      for (const back of undo) back();
      out.length = first;
      missing = want.count;
    }
    claim(suited, want, missing);
  }
  return out;
}

/**
 * A large task that found no room keeps one machine, the freest that could ever hold it, from those
 * that come after it in the queue: small tasks would otherwise fill each gap before it is wide enough.
 */
function claim(suited: readonly Slot[], want: Want, missing: number): void {
  const open = suited
    .filter((s) => !s.claimed && !fits(want.size, s))
    .sort((a, b) => b.cpus - a.cpus || (a.host.id < b.host.id ? -1 : 1));
  const most = Math.max(1, Math.floor(suited.length * MOST_CLAIMED));
  const held = suited.filter((s) => s.claimed).length;
  for (const s of open.slice(0, Math.max(0, Math.min(missing, most - held)))) {
    if (want.size.cpus * 2 < s.host.total.cpus - EPS) continue;
    s.claimed = true;
  }
}

/**
 * Among equals: the cheaper kind, so that dear machines empty and can be given back; the smaller
 * type, so that the large ones stay whole for large tasks; then the fullest, so that others empty.
 */
function better(a: Slot, b: Slot): boolean {
  const dearer = a.host.rate / b.host.rate;
  if (dearer > DEARER || dearer < 1 / DEARER) return dearer < 1;
  if (a.host.total.cpus !== b.host.total.cpus) return a.host.total.cpus < b.host.total.cpus;
  if (a.cpus !== b.cpus) return a.cpus < b.cpus;
  return a.host.id < b.host.id;
}
