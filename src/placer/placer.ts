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
  /** None of its tasks is anywhere, and it has waited for long: its first may go where room is kept. */
  readonly mustBegin: boolean;
  /** Its place among all: wants come in this order, and equal ones are alike in urgency. */
  readonly rank: number;
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
interface Kind {
  readonly build: string;
  readonly hall: string;
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
/** Claimed machines stand partly empty: of those that would suit, no more than this share. */
const MOST_CLAIMED = 0.5;
/** A job that may use less than this share of the fleet's processors is bound to what it may use. */
const BOUND = 0.75;

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

/** The machines as the placements of this round leave them. */
class Room {
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
      const key = `${host.build}|${host.hall}|${host.spot}|${host.total.cpus}`;
      let kind = kinds.get(key);
      if (!kind) {
        const { build, hall, spot, total } = host;
        kind = { build, hall, spot, total, slots: [], open: [], claims: 0, contested: false };
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

  /** Whether a task may take room there without what is kept for urgent ones. */
  spare(slot: Slot, cpus: number): boolean {
    for (const [image, kept] of this.reserve) {
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

export function place(
  wants: readonly Want[],
  hosts: readonly Host[],
  teams: ReadonlyMap<string, TeamRoom>,
  most: number,
  reserve: Reserve = new Map(),
): Assignment[] {
  const leastCpus = wants.reduce((least, w) => Math.min(least, w.size.cpus), Infinity);
  const room = new Room(hosts, reserve, leastCpus);
  const queue = wants.map((want, order) => {
    const suited = room.suited(want);
    return { want, order, suited, bound: room.isBound(suited) };
  });
  for (const q of queue) if (q.bound) for (const k of q.suited) k.contested = true;
  // Among the equally urgent, what can't go elsewhere chooses first.
  queue.sort(
    (a, b) => a.want.rank - b.want.rank || Number(b.bound) - Number(a.bound) || a.order - b.order,
  );
  const out: Assignment[] = [];
  for (const { want, suited, bound } of queue) {
    if (out.length >= most) break;
    const placed = fill(want, bound, suited, room, teams.get(want.team), most - out.length);
    for (const a of placed) out.push(a);
    const missing = want.count - placed.length;
    // What its team's limit keeps back needs no machine kept for it.
    if (missing > 0 && isUnder(teams.get(want.team), want.size)) claim(want, suited, missing);
  }
  return out;
}

/** Whether one more task leaves its team within its limit. */
const isUnder = (team: TeamRoom | undefined, size: Size): boolean =>
  !team || (size.cpus <= team.cpus + EPS && size.gpus <= team.gpus + EPS);

/** Places what it can of one job, or, of a gang, all or nothing. */
function fill(
  want: Want,
  bound: boolean,
  suited: readonly Kind[],
  room: Room,
  team: TeamRoom | undefined,
  most: number,
): Assignment[] {
  const candidates: { slot: Slot; score: number }[] = [];
  for (const kind of suited) {
    // What others can't do without is taken last by those who can.
    const tier = kind.contested && !bound && !want.urgent ? 1000 : 0;
    for (const slot of kind.open) {
      if (slot.claimed === 'firmly' || (slot.claimed === 'yes' && !want.mustBegin)) continue;
      if (!fits(want.size, slot) || want.avoid.has(slot.host.id)) continue;
      candidates.push({ slot, score: tier + delay(want, slot) });
    }
  }
  if (candidates.length === 0) return [];
  candidates.sort((a, b) => a.score - b.score || better(a.slot, b.slot));
  const out: { index: number; slot: Slot }[] = [];
  const inZone = new Map(want.inZone);
  let zone = want.zone;
  let next = 0;
  for (const index of want.indexes) {
    if (out.length >= most) break;
    // A task that would take its team over the limit must not start, whatever is free.
    if (!isUnder(team, want.size)) break;
    // A machine once taken is the best until it is full, so the search only ever goes on.
    let slot: Slot | undefined;
    for (; next < candidates.length && !slot; next++) {
      const s = candidates[next]?.slot;
      if (!s || !fits(want.size, s)) continue;
      // Room is kept from what comes later, but not for so long that a job can't begin beside it.
      const begins = want.mustBegin && out.length === 0;
      if (!begins && s.claimed !== 'no') continue;
      if (!begins && !want.urgent && !room.spare(s, want.size.cpus)) continue;
      if (want.together && zone !== undefined && s.host.hall !== zone) continue;
      if ((inZone.get(s.host.hall) ?? 0) >= want.perZone) continue;
      slot = s;
    }
    if (!slot) break;
    next--;
    room.take(slot, want, 1);
    if (!slot.host.holds(want.image) && !slot.coming.has(want.image)) {
      slot.coming = new Set([...slot.coming, want.image]);
    }
    if (team) {
      team.cpus -= want.size.cpus;
      team.gpus -= want.size.gpus;
    }
    if (want.together) zone = slot.host.hall;
    inZone.set(slot.host.hall, (inZone.get(slot.host.hall) ?? 0) + 1);
    out.push({ index, slot });
  }
  if (want.whole && out.length < want.count) {
    // A part of a gang would only hold room that others could use.
    for (const { slot } of out) {
      room.take(slot, want, -1);
      if (!slot.host.fetching.has(want.image)) {
        slot.coming = new Set([...slot.coming].filter((i) => i !== want.image));
      }
      if (!team) continue;
      team.cpus += want.size.cpus;
      team.gpus += want.size.gpus;
    }
    return [];
  }
  return out.map(({ index, slot }) => ({ job: want.id, index, machine: slot.host.id }));
}

/**
 * Large tasks that found no room keep machines, the freest that could ever hold them, from those that
 * come after them: small tasks would otherwise fill each gap before it is wide enough.
 */
function claim(want: Want, suited: readonly Kind[], missing: number): void {
  let of = 0;
  let held = 0;
  const open: Slot[] = [];
  for (const kind of suited) {
    of += kind.slots.length;
    held += kind.claims;
  }
  const most = Math.max(1, Math.floor(of * MOST_CLAIMED));
  if (held >= most) return;
  for (const kind of suited) {
    if (want.size.cpus * 2 < kind.total.cpus - EPS) continue;
    for (const s of kind.slots) if (s.claimed === 'no' && !fits(want.size, s)) open.push(s);
  }
  open.sort((a, b) => b.cpus - a.cpus || (a.host.id < b.host.id ? -1 : 1));
  let left = missing;
  for (const s of open) {
    if (left <= 0 || held >= most) break;
    s.claimed = want.rank < 0 ? 'firmly' : 'yes';
    s.kind.claims++;
    held++;
    left -= Math.max(1, Math.floor((s.host.total.cpus + EPS) / want.size.cpus));
  }
}

/**
 * Among equals: the cheaper kind, so that dear machines empty and can be given back; the smaller
 * type, so that the large ones stay whole for large tasks; then the freest.
 */
function better(a: Slot, b: Slot): number {
  const dearer = a.host.rate / b.host.rate;
  if (dearer > DEARER || dearer < 1 / DEARER) return dearer - 1;
  if (a.host.total.cpus !== b.host.total.cpus) return a.host.total.cpus - b.host.total.cpus;
  if (a.cpus !== b.cpus) return b.cpus - a.cpus;
  return a.host.id < b.host.id ? -1 : 1;
}
