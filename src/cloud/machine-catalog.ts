/** Keeps the catalog of the machine types that the cloud offers, with prices and zones. */
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
 * the state store, so that a controller that starts while the cloud is unavailable can check submissions.
 */
export class MachineCatalog {
  private types = new Map<string, MachineType>();

  /** Whether any machine types have been read, from the cloud or the state store. */
  get isLoaded(): boolean {
    return this.types.size > 0;
  }

  /** The type with that name; undefined if the cloud does not offer it or nothing has been read yet. */
  machineType(name: string): MachineType | undefined {
    return this.types.get(name);
  }

  /** All types, in the order in which the cloud lists them. */
  all(): MachineType[] {
    return [...this.types.values()];
  }

  /** Replaces all types. Returns whether anything but prices changed; the types should then be stored again. */
  update(machineTypes: readonly MachineType[]): boolean {
    const before = JSON.stringify(this.all().map(withoutPrices));
    this.types = new Map(machineTypes.map((type) => [type.name, type]));
    return JSON.stringify(this.all().map(withoutPrices)) !== before;
  }

  /** Loads the types that were stored in the state store, unless types are already loaded. Ignores unreadable data. */
  restore(data: unknown): void {
    if (this.isLoaded) return;
    const types = decodeMachineTypes(data);
    if (types) this.update(types);
  }

  /** Encodes the types for the state store. */
  encode(): object {
    return encodeMachineTypes(this.all());
  }

  /** Whether a job can ever run on these types within the quota of its team. */
  checkFeasibility(spec: JobSpec, teams: ReadonlyMap<string, Team>): Feasibility {
    return checkFeasibility(spec, teams, this.all());
  }
}

/** A machine type without its prices, which change often. */
const withoutPrices = (type: MachineType): MachineType => ({
  ...type,
  onDemandPrice: 0,
  spotPrice: 0,
});
