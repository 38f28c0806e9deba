/** The machines as the placements of one round leave them, and in what order a job prefers them. */
import { EPS, fits, type Size } from '../fleet/size.js';
import type { Host, Reserve, Want } from './types.js';

export interface Slot {
  readonly host: Host;
  readonly kind: Kind;
  cpus: number;
  gpus: number;
  ramGb: number;
  /** Images under way to it: the host's own, until one is added. */
  coming: ReadonlySet<string>;
  /** Kept by a large task that comes before; firmly, if that one was passed over for long itself. */
  claimed: 'no' | 'yes' | 'firmly';
}

/** Machines that are alike to a job that asks whether it may run there. */
export interface Kind {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Size;
  readonly slots: Slot[];
  /** Those of its machines with room for the smallest task that waits: all that a search need look at. */
  open: Slot[];
  /** How many of its machines are claimed. */
  claims: number;
  /** Something that fits nowhere else wants it. */
  contested: boolean;
}

/** Prices of one kind move by up to a third each way; only a larger difference is one of kind. */
const DEARER = 1.8;
/** A job that may use less than this share of the fleet's processors is bound to what it may use. */
const BOUND = 0.75;

export function allows(
  want: Pick<Want, 'types' | 'onlyZone' | 'spot'>,
  host: Pick<Host, 'type' | 'zone' | 'spot'>,
): boolean {
  return (
    (want.types === null || want.types.includes(host.type)) &&
    (want.onlyZone === null || want.onlyZone === host.zone) &&
    (want.spot || !host.spot)
  );
}

/** Seconds until the image would be there; machines within the same few seconds count alike. */
export function delay(want: Want, slot: Slot): number {
  if (slot.host.holds(want.image)) return 0;
  if (slot.coming.has(want.image)) return 1;
  const s = (want.imageGb / slot.host.fetchGbPerS) * (1 + slot.coming.size);
  return 1 + Math.ceil(s / 2);
}

/** The machines as the placements of this round leave them. */
export class Room {
  readonly kinds: Kind[];
  private readonly cpus: number;
  private readonly smallest: number;
  private readonly headroom = new Map<string, number>();

  constructor(
    hosts: readonly Host[],
    private readonly reserve: Reserve,
    /** No task that is to be placed takes fewer processors. */
    leastCpus: number,
  ) {
    const kinds = new Map<string, Kind>();
    let cpus = 0;
    // The large machines keep no room: what only they can run would pay for it.
    let smallest = Infinity;
    for (const host of hosts) {
      cpus += host.total.cpus;
      smallest = Math.min(smallest, host.total.cpus);
      const key = `${host.type}|${host.zone}|${host.spot}|${host.total.cpus}`;
      let kind = kinds.get(key);
      if (!kind) {
        const { type, zone, spot, total } = host;
        kind = {
          type,
          zone,
          spot,
          total,
          slots: [],
          open: [],
          claims: 0,
          contested: false,
        };
        kinds.set(key, kind);
      }
      const { cpus: free, gpus, ramGb } = host.free;
      const coming = host.fetching;
      const slot: Slot = { host, kind, cpus: free, gpus, ramGb, coming, claimed: 'no' };
      kind.slots.push(slot);
      if (free >= leastCpus - EPS) kind.open.push(slot);
    }
    this.kinds = [...kinds.values()];
    this.cpus = cpus;
    this.smallest = smallest;
    const small = this.kinds.filter((k) => k.total.cpus === smallest);
    for (const image of reserve.keys()) {
      let free = 0;
      for (const k of small) for (const s of k.slots) if (s.host.holds(image)) free += s.cpus;
      this.headroom.set(image, free);
    }
  }

  /** The kinds that a job may use and that a task of it fits. */
  suited(want: Want): Kind[] {
    return this.kinds.filter((k) => allows(want, k) && fits(want.size, k.total));
  }

  /** Whether so much of the fleet is closed to a job that it can't go elsewhere. */
  isBound(suited: readonly Kind[]): boolean {
    let cpus = 0;
    for (const k of suited) cpus += k.slots.length * k.total.cpus;
    return cpus < this.cpus * BOUND;
  }

  private keeps(s: Slot, image: string): boolean {
    return s.host.total.cpus === this.smallest && s.host.holds(image);
  }

  /** Whether a task may take room there without what is kept for others. */
  spare(slot: Slot, want: Want): boolean {
    const { cpus } = want.size;
    for (const [image, kept] of this.reserve) {
      if (want.isExpected && image === want.image) continue;
      if (this.keeps(slot, image) && (this.headroom.get(image) ?? 0) - cpus < kept) return false;
    }
    return true;
  }

  /** Takes room for so many tasks of a size; fewer than none gives it back. */
  take(slot: Slot, want: Want, tasks: number): void {
    const { cpus, gpus, ramGb } = want.size;
    slot.cpus -= cpus * tasks;
    slot.gpus -= gpus * tasks;
    slot.ramGb -= ramGb * tasks;
    for (const image of this.reserve.keys()) {
      if (!this.keeps(slot, image)) continue;
      this.headroom.set(image, (this.headroom.get(image) ?? 0) - cpus * tasks);
    }
  }
}

/**
 * Among equals: the cheaper kind, so that dear machines empty and can be given back; the smaller
 * type, so that the large ones stay whole for large tasks; then the freest.
 */
export function better(a: Slot, b: Slot): number {
  const dearer = a.host.rate / b.host.rate;
  if (dearer > DEARER || dearer < 1 / DEARER) return dearer - 1;
  if (a.host.total.cpus !== b.host.total.cpus) return a.host.total.cpus - b.host.total.cpus;
  if (a.cpus !== b.cpus) return b.cpus - a.cpus;
  return a.host.id < b.host.id ? -1 : 1;
}
