/** Tracks the machines of one term, the machines that are gone, and attempts that no placement accounts for. */
import {
  Endpoint,
  durationBetween,
  type DurationMs,
  type MachineId,
  type SteadyMs,
  type TaskKey,
} from '../units/index.js';
import { TaskState } from '../wire/index.js';
import type { AssignedTask, MachineLoad, ResourcesOf } from './machine-load.js';
import { Machine, type MachineKind } from './machine.js';
import { workerLeaseEnd } from './worker-lease.js';
import { attemptKey, type WorkerStatus } from './worker-status.js';

/** Machine names that end in a number take few bytes in a compact record. */
const NUMBERED_NAME_PATTERN = /\d$/;

/** How long the fleet remembers a machine that is gone: ten minutes. */
const GONE_MACHINE_RETENTION = 600_000 as DurationMs;

/** The kind of a machine that is known only from a record. */
const UNKNOWN_KIND: MachineKind = { machineType: '', zone: '', spot: true };

/** What a fleet depends on. */
export interface FleetDependencies {
  /** When the term began. */
  readonly startedAt: SteadyMs;
  /** The length of a worker's lease. */
  readonly lease: DurationMs;
  /** The size of a machine type's image cache in GB; undefined while it is not known. */
  readonly cacheSizeOf: (machineType: string) => number | undefined;
  /** The images that an earlier leader expected in a machine's cache. */
  readonly imageHintsFor: (
    id: MachineId,
  ) => readonly { readonly name: string; readonly gb: number }[];
  readonly resourcesOf: ResourcesOf;
}

/** The machines of one term, and which attempts may be on them. */
export class Fleet {
  readonly machines = new Map<MachineId, Machine>();
  /** Machines that are certainly gone. Late heartbeats and stale lists must not add them again. */
  private readonly goneSince = new Map<MachineId, SteadyMs>();
  /** By task, the machines that run an attempt without a placement, which must end before the task starts again. */
  private readonly orphans = new Map<TaskKey, Set<MachineId>>();

  private maxUnnumberedNameLength = 0;

  constructor(private readonly deps: FleetDependencies) {}

  /** The length of the longest machine name that does not end in a number; 0 if there is none. */
  get longestUnnumberedNameLength(): number {
    return this.maxUnnumberedNameLength;
  }

  isGone(id: MachineId): boolean {
    return this.goneSince.has(id);
  }

  /**
   * Adds or updates a machine that a heartbeat or the cloud reports, and returns it with its kind set.
   *
   * @param address empty if it was not reported
   */
  upsertMachine(id: MachineId, kind: MachineKind, address: string): Machine {
    const cacheGb = this.deps.cacheSizeOf(kind.machineType);
    const machine = this.getOrCreate(id, kind);
    if (machine.kind.machineType === '') machine.kind = kind;
    if (cacheGb !== undefined && !machine.hasImageHints) {
      machine.hasImageHints = true;
      machine.images.resize(cacheGb);
      for (const { name, gb } of this.deps.imageHintsFor(id)) machine.recordImageUse(name, gb);
    }
    if (address !== '') machine.address = Endpoint(address);
    return machine;
  }

  private getOrCreate(id: MachineId, kind: MachineKind): Machine {
    const known = this.machines.get(id);
    if (known) return known;
    // An earlier leader lost its authority, and so sent its last response to the worker, before this term began.
    const leaseExpiresAt = workerLeaseEnd(this.deps.startedAt, this.deps.lease);
    const machine = new Machine(id, kind, 0, leaseExpiresAt);
    this.machines.set(id, machine);
    if (!NUMBERED_NAME_PATTERN.test(id))
      this.maxUnnumberedNameLength = Math.max(this.maxUnnumberedNameLength, id.length);
    return machine;
  }

  /** Assigns a task that a record places on a machine. The machine need not have been observed yet. */
  assign(id: MachineId, key: TaskKey, task: AssignedTask): void {
    this.getOrCreate(id, UNKNOWN_KIND).assign(key, task);
  }

  /** Removes an attempt that is no longer on the machine. A later attempt of the task there stays. */
  unassign(id: MachineId, key: TaskKey, attempt: number): void {
    const machine = this.machines.get(id);
    if (machine?.assignments.get(key)?.attempt === attempt) machine.unassign(key);
  }

  load(machine: Machine): MachineLoad {
    return machine.load(this.deps.resourcesOf);
  }

  /** Removes a machine that is certainly gone. */
  remove(machine: Machine, now: SteadyMs): void {
    this.machines.delete(machine.id);
    this.goneSince.set(machine.id, now);
    machine.expireLease();
  }

  /** Forgets machines that have been gone for longer than the retention time. */
  pruneGoneMachines(now: SteadyMs): void {
    for (const [id, at] of this.goneSince)
      if (durationBetween(at, now) > GONE_MACHINE_RETENTION) this.goneSince.delete(id);
  }

  // --- orphaned attempts ------------------------------------------------------------------------

  get orphanedTasks(): ReadonlyMap<TaskKey, ReadonlySet<MachineId>> {
    return this.orphans;
  }

  isOrphaned(key: TaskKey): boolean {
    return this.orphans.has(key);
  }

  /** Records that a machine runs an attempt of the task that no placement accounts for. */
  recordOrphan(key: TaskKey, machine: MachineId): void {
    const machines = this.orphans.get(key) ?? new Set<MachineId>();
    machines.add(machine);
    this.orphans.set(key, machines);
  }

  /**
   * Removes the orphaned attempts that a machine no longer runs.
   *
   * @param status its newest status; undefined if its session, and with it every task, has ended
   */
  removeEndedOrphans(machine: Machine, status: WorkerStatus | undefined): void {
    for (const [key, machines] of this.orphans) {
      if (!machines.has(machine.id)) continue;
      if (!isRunningOrphan(machine, key, status)) machines.delete(machine.id);
      if (machines.size === 0) this.orphans.delete(key);
    }
  }
}

/** Whether a status shows an attempt of the task that has not exited, other than the one assigned to the machine. */
function isRunningOrphan(
  machine: Machine,
  key: TaskKey,
  status: WorkerStatus | undefined,
): boolean {
  if (!status) return false;
  const assigned = machine.assignments.get(key);
  const assignedAttempt = assigned && attemptKey(key, assigned.attempt);
  for (const [attempt, { task, state }] of status.byAttempt) {
    if (task === key && state !== TaskState.exited && attempt !== assignedAttempt) return true;
  }
  return false;
}
