import {
  Endpoint,
  since,
  type DurationMs,
  type JobId,
  type MachineId,
  type SteadyMs,
  type TaskKey,
} from '../units/index.js';
import {
  Machine,
  workerLeaseEnd,
  attemptKey,
  type AssignedTask,
  type Load,
  type MachineKind,
} from './machine.js';
import type { WorkerStatus } from './machine.js';
import type { Resources } from './resources.js';
import { TaskState } from '../wire/index.js';

/** Names of this form take a few bytes in a record. */
const NUMBERED_NAME = /\d$/;

/** How long a machine that is gone is remembered. */
const GONE_MEMORY = 600_000 as DurationMs;

export interface FleetDependencies {
  readonly startedAt: SteadyMs;
  readonly lease: DurationMs;
  /** The size of a machine type's image cache; undefined as long as it is not known. */
  readonly cacheSizeOf: (build: string) => number | undefined;
  /** What the leader before thought to be in a machine's cache. */
  readonly imageHintsFor: (
    id: MachineId,
  ) => readonly { readonly name: string; readonly gb: number }[];
  readonly resourcesOf: (job: JobId) => Resources | undefined;
}

/** The machines of one epoch, and which attempts may be on them. */
export class Fleet {
  readonly machines = new Map<MachineId, Machine>();
  /** Machines that are gone for certain, so that late reports and old lists do not revive them. */
  private readonly goneSince = new Map<MachineId, SteadyMs>();
  /** Attempts on machines that no placement accounts for: they must be gone before the task starts again. */
  private readonly orphans = new Map<TaskKey, Set<MachineId>>();

  /** The length of the longest machine name that is not a number behind what names begin with; 0: none. */
  private longestUnnumberedName = 0;

  constructor(private readonly deps: FleetDependencies) {}

  get longestOtherName(): number {
    return this.longestUnnumberedName;
  }

  isGone(id: MachineId): boolean {
    return this.goneSince.has(id);
  }

  observe(id: MachineId, place: MachineKind, addr: string): Machine {
    const cache = this.deps.cacheSizeOf(place.machineType);
    const m = this.getOrCreate(id, place);
    if (m.kind.machineType === '') m.kind = place;
    if (cache !== undefined && !m.imageHintsTaken) {
      m.imageHintsTaken = true;
      m.images.resize(cache);
      for (const { name, gb } of this.deps.imageHintsFor(id)) m.noteImageUse(name, gb);
    }
    if (addr !== '') m.address = Endpoint(addr);
    return m;
  }

  private getOrCreate(id: MachineId, place: MachineKind): Machine {
    let m = this.machines.get(id);
    if (!m) {
      m = new Machine(id, place, 0, workerLeaseEnd(this.deps.startedAt, this.deps.lease));
      this.machines.set(id, m);
      if (!NUMBERED_NAME.test(id))
        this.longestUnnumberedName = Math.max(this.longestUnnumberedName, id.length);
    }
    return m;
  }

  /** A record places it there. */
  assign(id: MachineId, key: TaskKey, task: AssignedTask): void {
    this.getOrCreate(id, { machineType: '', zone: '', spot: true }).assign(key, task);
  }

  release(id: MachineId, key: TaskKey, attempt: number): void {
    const m = this.machines.get(id);
    if (m?.assignments.get(key)?.attempt === attempt) m.unassign(key);
  }

  load(m: Machine): Load {
    return m.load(this.deps.resourcesOf);
  }

  remove(m: Machine, now: SteadyMs): void {
    this.machines.delete(m.id);
    this.goneSince.set(m.id, now);
    m.expireLease();
  }

  forgetGone(now: SteadyMs): void {
    for (const [id, at] of this.goneSince)
      if (since(at, now) > GONE_MEMORY) this.goneSince.delete(id);
  }

  // --- attempts that no placement accounts for --------------------------------------------------

  get orphanedTasks(): ReadonlyMap<TaskKey, ReadonlySet<MachineId>> {
    return this.orphans;
  }

  isOrphaned(key: TaskKey): boolean {
    return this.orphans.has(key);
  }

  noteOrphan(key: TaskKey, machine: MachineId): void {
    const set = this.orphans.get(key) ?? new Set<MachineId>();
    set.add(machine);
    this.orphans.set(key, set);
  }

  /** Drops the strays that a machine's newest report does not show any more. */
  sweepOrphans(m: Machine, r: WorkerStatus | undefined): void {
    for (const [key, set] of this.orphans) {
      if (!set.has(m.id)) continue;
      const own = m.assignments.get(key);
      const mine = own && attemptKey(key, own.attempt);
      let still = false;
      for (const [attempt, e] of r?.byAttempt ?? []) {
        if (e.task === key && e.state !== TaskState.exited && attempt !== mine) still = true;
      }
      if (!still) set.delete(m.id);
      if (set.size === 0) this.orphans.delete(key);
    }
  }
}
