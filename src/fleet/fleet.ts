import {
  Endpoint,
  since,
  type DurationMs,
  type JobId,
  type MachineId,
  type SteadyMs,
  type TaskKey,
} from '../units/index.js';
import { Machine, leaseEnd, attemptKey, type Assigned, type Load, type Place } from './machine.js';
import type { Report } from './machine.js';
import type { Size } from './size.js';
import { TaskState } from '../wire/index.js';

/** Names of this form take a few bytes in a record. */
const NUMBERED_NAME = /\d$/;

/** How long a machine that is gone is remembered. */
const REMEMBER_GONE = 600_000 as DurationMs;

export interface FleetDeps {
  readonly began: SteadyMs;
  readonly lease: DurationMs;
  /** The size of a machine type's image cache; undefined as long as it is not known. */
  readonly cacheOf: (build: string) => number | undefined;
  /** What the leader before thought to be in a machine's cache. */
  readonly hinted: (id: MachineId) => readonly { readonly name: string; readonly gb: number }[];
  readonly sizeOf: (job: JobId) => Size | undefined;
}

/** The machines of one epoch, and which attempts may be on them. */
export class Fleet {
  readonly machines = new Map<MachineId, Machine>();
  /** Machines that are gone for certain, so that late reports and old lists do not revive them. */
  private readonly gone = new Map<MachineId, SteadyMs>();
  /** Attempts on machines that no placement accounts for: they must be gone before the task starts again. */
  private readonly strays = new Map<TaskKey, Set<MachineId>>();

  /** The length of the longest machine name that is not a number behind what names begin with; 0: none. */
  private longestOther = 0;

  constructor(private readonly deps: FleetDeps) {}

  get longestOtherName(): number {
    return this.longestOther;
  }

  isGone(id: MachineId): boolean {
    return this.gone.has(id);
  }

  meet(id: MachineId, place: Place, addr: string): Machine {
    const cache = this.deps.cacheOf(place.type);
    const m = this.known(id, place);
    if (m.place.type === '') m.place = place;
    if (cache !== undefined && !m.hinted) {
      m.hinted = true;
      m.images.resize(cache);
      for (const { name, gb } of this.deps.hinted(id)) m.uses(name, gb);
    }
    if (addr !== '') m.addr = Endpoint(addr);
    return m;
  }

  private known(id: MachineId, place: Place): Machine {
    let m = this.machines.get(id);
    if (!m) {
      m = new Machine(id, place, 0, leaseEnd(this.deps.began, this.deps.lease));
      this.machines.set(id, m);
      if (!NUMBERED_NAME.test(id)) this.longestOther = Math.max(this.longestOther, id.length);
    }
    return m;
  }

  /** A record places it there. */
  assign(id: MachineId, key: TaskKey, task: Assigned): void {
    this.known(id, { type: '', zone: '', spot: true }).assign(key, task);
  }

  release(id: MachineId, key: TaskKey, attempt: number): void {
    const m = this.machines.get(id);
    if (m?.assigned.get(key)?.attempt === attempt) m.unassign(key);
  }

  load(m: Machine): Load {
    return m.load(this.deps.sizeOf);
  }

  remove(m: Machine, now: SteadyMs): void {
    this.machines.delete(m.id);
    this.gone.set(m.id, now);
    m.expire();
  }

  forgetGone(now: SteadyMs): void {
    for (const [id, at] of this.gone) if (since(at, now) > REMEMBER_GONE) this.gone.delete(id);
  }

  // --- attempts that no placement accounts for --------------------------------------------------

  get strayKeys(): ReadonlyMap<TaskKey, ReadonlySet<MachineId>> {
    return this.strays;
  }

  isStray(key: TaskKey): boolean {
    return this.strays.has(key);
  }

  stray(key: TaskKey, machine: MachineId): void {
    const set = this.strays.get(key) ?? new Set<MachineId>();
    set.add(machine);
    this.strays.set(key, set);
  }

  /** Drops the strays that a machine's newest report does not show any more. */
  sweepStrays(m: Machine, r: Report | undefined): void {
    for (const [key, set] of this.strays) {
      if (!set.has(m.id)) continue;
      const own = m.assigned.get(key);
      const mine = own && attemptKey(key, own.attempt);
      let still = false;
      for (const [attempt, e] of r?.byAttempt ?? []) {
        if (e.task === key && e.state !== TaskState.exited && attempt !== mine) still = true;
      }
      if (!still) set.delete(m.id);
      if (set.size === 0) this.strays.delete(key);
    }
  }
}
