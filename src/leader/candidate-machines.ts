/** Selects the machines that may take new tasks, and describes them to the placer. */
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { machineResources, subtractResources } from '../fleet/resources.js';
import type { CandidateMachine } from '../placer/placer.js';
import { durationBetween, type DurationMs, type Epoch, type SteadyMs } from '../units/index.js';

/** What the selection is made from. */
export interface CandidateMachineSource {
  readonly fleet: Fleet;
  readonly catalog: MachineCatalog;
  readonly epoch: Epoch;
  /** A machine that has not reported for longer gets no new tasks. */
  readonly silenceThreshold: DurationMs;
}

/** The machines that may take new tasks at `now`, in the order of the fleet. */
export function candidateMachines(
  { fleet, catalog, epoch, silenceThreshold }: CandidateMachineSource,
  now: SteadyMs,
): CandidateMachine[] {
  const candidates: CandidateMachine[] = [];
  for (const machine of fleet.machines.values()) {
    if (!acceptsTasks(machine, now) || machine.isUnconfirmedWithFailedCommand(epoch, now)) continue;
    if (
      machine.lastStatusAt === undefined ||
      durationBetween(machine.lastStatusAt, now) > silenceThreshold
    )
      continue;
    const candidate = describe(machine, fleet, catalog);
    if (candidate) candidates.push(candidate);
  }
  return candidates;
}

/** Up, with a known address and status, and neither about to go nor in quarantine after failures. */
const acceptsTasks = (machine: Machine, now: SteadyMs): boolean =>
  machine.isUp &&
  !machine.isDraining &&
  !machine.isDeleteSent &&
  machine.quarantinedUntil <= now &&
  Boolean(machine.address) &&
  machine.status !== undefined;

/** Undefined if the size of the machine, or of a task on it, is not known: then nor is its free capacity. */
function describe(
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
