/** The catalog of machine types: what the cloud offers, at which price and in which zones. */
import type { Team } from '../config/settings.js';
import {
  decodeMachineTypes,
  encodeMachineTypes,
  type JobSpec,
  type MachineType,
} from '../wire/index.js';
import { checkFeasibility, type Feasibility } from './feasibility.js';

/**
 * The machine types, their prices and zones, as last read from the cloud. The leader also keeps them in
 * the state service, so that a node that starts while the cloud is unavailable can judge submissions.
 */
export class MachineCatalog {
  private types = new Map<string, MachineType>();

  /** Whether any machine types have been read yet. */
  get isKnown(): boolean {
    return this.types.size > 0;
  }

  /** The type of that name; undefined if the cloud does not offer it, or nothing was read yet. */
  machineType(name: string): MachineType | undefined {
    return this.types.get(name);
  }

  /** All types, in the order of the cloud. */
  all(): MachineType[] {
    return [...this.types.values()];
  }

  /** Replaces all types; true if anything but prices changed, so that they are worth storing again. */
  update(machineTypes: readonly MachineType[]): boolean {
    const before = JSON.stringify(this.all().map(withoutPrices));
    this.types = new Map(machineTypes.map((type) => [type.name, type]));
    return JSON.stringify(this.all().map(withoutPrices)) !== before;
  }

  /** Takes the types from the state service, unless some were read already; ignores unreadable data. */
  restore(data: unknown): void {
    if (this.isKnown) return;
    const types = decodeMachineTypes(data);
    if (types) this.update(types);
  }

  /** The form in which the types are stored. */
  encode(): object {
    return encodeMachineTypes(this.all());
  }

  /** Whether a job can ever run on these types within the quota of its team. */
  checkFeasibility(spec: JobSpec, teams: ReadonlyMap<string, Team>): Feasibility {
    return checkFeasibility(spec, teams, this.all());
  }
}

/** A machine type without its prices, which change all the time. */
const withoutPrices = (type: MachineType): MachineType => ({
  ...type,
  onDemandPrice: 0,
  spotPrice: 0,
});
