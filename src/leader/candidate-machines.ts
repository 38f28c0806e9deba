/** Selects the machines that may take new tasks, and describes them to the placer. */
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { machineResources, subtractResources } from '../fleet/resources.js';
import type { CandidateMachine } from '../placer/placer.js';
import { durationBetween, type DurationMs, type Epoch, type SteadyMs } from '../units/index.js';

/** Input of the selection. */
export interface CandidateMachineSource {
  readonly fleet: Fleet;
  readonly catalog: MachineCatalog;
  readonly epoch: Epoch;
  /** Machines without a heartbeat for longer than this get no new tasks. */
  readonly silenceThreshold: DurationMs;
}

/** The machines that may take new tasks at `now`, in the order of the fleet. */
export function candidateMachines(
  { fleet, catalog, epoch, silenceThreshold }: CandidateMachineSource,
  now: SteadyMs,
): CandidateMachine[] {
  const candidates: CandidateMachine[] = [];
  for (const machine of fleet.machines.values()) {
    if (!canAcceptTasks(machine, now) || machine.isUnconfirmedWithFailedCommand(epoch, now))
      continue;
    if (
      machine.lastStatusAt === undefined ||
      durationBetween(machine.lastStatusAt, now) > silenceThreshold
    )
      continue;
    const candidate = describeCandidate(machine, fleet, catalog);
    if (candidate) candidates.push(candidate);
  }
  return candidates;
}

/** Whether a machine is up, has a known address and status, and is neither leaving nor quarantined after failures. */
const canAcceptTasks = (machine: Machine, now: SteadyMs): boolean =>
  machine.isUp &&
  !machine.isDraining &&
  !machine.isDeleteSent &&
  machine.quarantinedUntil <= now &&
  Boolean(machine.address) &&
  machine.status !== undefined;

/** Undefined if the size of the machine, or of a task on it, is unknown: its free capacity is then unknown too. */
function describeCandidate(
  machine: Machine,
  fleet: Fleet,
  catalog: MachineCatalog,
): CandidateMachine | undefined {
  const { kind } = machine;
  const type = catalog.machineType(kind.machineType);
  if (!type) return undefined;
  const load = fleet.load(machine);
  if (load.hasUnknownTasks) return undefined;
  const capacity = machineResources(type);
  return {
    id: machine.id,
    machineType: kind.machineType,
    zone: kind.zone,
    spot: kind.spot,
    capacity,
    free: subtractResources(capacity, load.used),
    pricePerCpu: (kind.spot ? type.spotPrice : type.onDemandPrice) / type.cpus,
    fetchGbPerSecond: type.fetchGbPerSecond,
    hasImage: (image) => machine.images.has(image),
    imagesBeingFetched: load.imagesBeingFetched,
  };
}
