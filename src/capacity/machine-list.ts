/** Takes the cloud's list of machines, which lags behind, into the fleet. */
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import {
  MachineId,
  later,
  ms,
  durationBetween,
  type DurationMs,
  type SteadyMs,
} from '../units/index.js';
import type { ListedMachine } from '../wire/index.js';

/** Where and when a list is taken in. */
export interface MachineListContext {
  readonly fleet: Fleet;
  /** How far the cloud's list may lag behind. */
  readonly listLag: DurationMs;
  /** When the list was requested. */
  readonly now: SteadyMs;
}

/** Notes what the list says of each machine, and which machines it lacks. */
export function recordMachineList(
  listed: readonly ListedMachine[],
  { fleet, listLag, now }: MachineListContext,
): void {
  const listedIds = new Set<MachineId>();
  for (const entry of listed) {
    const id = MachineId(entry.id);
    listedIds.add(id);
    if (!fleet.isGone(id)) recordListed(id, entry, fleet, now);
  }
  for (const machine of fleet.machines.values()) {
    if (listedIds.has(machine.id)) machine.missedListCount = 0;
    else if (isMissing(machine, listLag, now)) machine.missedListCount++;
  }
}

/** Whether it means anything that the list lacks a machine. */
function isMissing(machine: Machine, listLag: DurationMs, now: SteadyMs): boolean {
  if (machine.listedAt === undefined) return machine.bootingSince === undefined && !machine.isUp;
  // A list may be older than the one before, but not older than twice the lag.
  return durationBetween(machine.listedAt, now) > 2 * listLag;
}

function recordListed(id: MachineId, listed: ListedMachine, fleet: Fleet, now: SteadyMs): void {
  const { machineType, zone, spot, address, status } = listed;
  const machine = fleet.observe(id, { machineType, zone, spot }, address);
  const requestedAt = later(now, ms(-listed.ageSeconds * 1000));
  machine.listedAt ??= now;
  machine.rentedAt ??= requestedAt;
  if (status === 'failed') {
    // It stopped on its own: its tasks are gone. The delete only takes it off the list.
    machine.isDecommissioning = true;
    machine.isDeleteSent = true;
  } else if (!machine.isUp && machine.lastStatusAt === undefined) {
    // A running machine has booted long ago, and only this leader has had no heartbeat of it yet. After a
    // failover that is the whole fleet, and none of it may be given up for a boot that took too long.
    if (status === 'running') {
      machine.bootingSince = undefined;
      machine.listedRunningSince ??= now;
    } else machine.bootingSince ??= requestedAt;
  }
}
