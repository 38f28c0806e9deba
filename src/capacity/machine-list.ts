/** Applies the cloud's machine list, which lags behind, to the fleet. */
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import {
  MachineId,
  addDuration,
  ms,
  durationBetween,
  type DurationMs,
  type SteadyMs,
} from '../units/index.js';
import type { ListedMachine } from '../wire/index.js';

/** The fleet that a machine list is applied to, the maximum lag of the list, and when it was requested. */
export interface MachineListContext {
  readonly fleet: Fleet;
  /** The maximum lag of the cloud's list. */
  readonly listLag: DurationMs;
  /** When the list was requested. */
  readonly now: SteadyMs;
}

/** Records what the list says about each machine, and which machines it does not contain. */
export function recordMachineList(
  listed: readonly ListedMachine[],
  { fleet, listLag, now }: MachineListContext,
): void {
  const listedIds = new Set<MachineId>();
  for (const entry of listed) {
    const id = MachineId(entry.id);
    listedIds.add(id);
    if (!fleet.isGone(id)) recordListedMachine(id, entry, fleet, now);
  }
  for (const machine of fleet.machines.values()) {
    if (listedIds.has(machine.id)) machine.missedListCount = 0;
    else if (shouldCountAbsence(machine, listLag, now)) machine.missedListCount++;
  }
}

/** Whether the absence of a machine from the list suggests that it is gone, and does not come from the list's lag. */
function shouldCountAbsence(machine: Machine, listLag: DurationMs, now: SteadyMs): boolean {
  if (machine.listedAt === undefined) return machine.bootingSince === undefined && !machine.isUp;
  // A list may show an older state than the list before it, but none older than twice the maximum lag.
  return durationBetween(machine.listedAt, now) > 2 * listLag;
}

function recordListedMachine(
  id: MachineId,
  listed: ListedMachine,
  fleet: Fleet,
  now: SteadyMs,
): void {
  const { machineType, zone, spot, address, status } = listed;
  const machine = fleet.upsertMachine(id, { machineType, zone, spot }, address);
  const rentedAt = addDuration(now, ms(-listed.ageSeconds * 1000));
  machine.listedAt ??= now;
  machine.rentedAt ??= rentedAt;
  if (status === 'failed') {
    // The machine stopped on its own and its tasks are gone. Deleting it only removes it from the list.
    machine.isDecommissioning = true;
    machine.isDeleteSent = true;
  } else if (!machine.isUp && machine.lastStatusAt === undefined) {
    // A running machine has booted; it is only that this leader has not received a heartbeat from it yet. After a
    // failover this applies to the whole fleet, and no machine may be given up because of a boot that took too long.
    if (status === 'running') {
      machine.bootingSince = undefined;
      machine.listedRunningSince ??= now;
    } else machine.bootingSince ??= rentedAt;
  }
}
