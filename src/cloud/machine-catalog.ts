import {
  JobKind,
  TEAM_FIELD,
  decodeMachineTypes,
  encodeMachineTypes,
  type JobSpec,
  type MachineType,
} from '../wire/index.js';
import type { Team } from '../config/settings.js';

export type Verdict = 'ok' | 'undecided' | { readonly never: string };

/**
 * The machine types, their prices and zones, as last read. What rarely changes is also kept in the
 * state service, so that a node that starts while the cloud is out can still judge submissions.
 */
export class MachineCatalog {
  private types = new Map<string, MachineType>();

  get isKnown(): boolean {
    return this.types.size > 0;
  }

  machineType(name: string): MachineType | undefined {
    return this.types.get(name);
  }

  all(): MachineType[] {
    return [...this.types.values()];
  }

  /** Takes what was read; true if anything but prices changed, so that it is worth keeping. */
  update(flavors: readonly MachineType[]): boolean {
    const before = JSON.stringify(this.all().map(withoutPrices));
    this.types = new Map(flavors.map((f) => [f.name, f]));
    return JSON.stringify(this.all().map(withoutPrices)) !== before;
  }

  /** From the state service, if nothing newer is known. */
  restore(data: unknown): void {
    if (this.isKnown) return;
    const types = decodeMachineTypes(data);
    if (types) this.update(types);
  }

  /** In the form in which it is stored. */
  encode(): object {
    return encodeMachineTypes(this.all());
  }

  /** Whether a job can ever run here. */
  judge(s: JobSpec, teams: ReadonlyMap<string, Team>): Verdict {
    const team = teams.get(s.team);
    if (!team) return { never: `${TEAM_FIELD}: no team ${s.team}` };
    // A gang is on machines as a whole, of others at least one task at a time.
    const whole = s.kind === JobKind.gang;
    const least = whole ? s.taskCount : 1;
    if (
      (team.maxCpus > 0 && least * s.cpus > team.maxCpus) ||
      (team.maxGpus > 0 && least * s.gpus > team.maxGpus)
    ) {
      return { never: `${TEAM_FIELD}: it needs more at once than the limit of ${s.team}` };
    }
    if (!this.isKnown) return 'undecided';
    const zones = new Set<string>();
    for (const f of this.types.values()) {
      if (s.machineTypes !== null && !s.machineTypes.includes(f.name)) continue;
      if (s.cpus > f.cpus || s.gpus > f.gpus || s.memoryGb > f.memoryGb) continue;
      for (const zone of f.zones) if (s.zone === null || s.zone === zone) zones.add(zone);
    }
    if (zones.size === 0) return { never: 'a task fits no allowed machine type' };
    // Tasks of their own can take turns in one zone; a gang that may have half of them there can't.
    if (whole && s.spreadZones && s.taskCount > 1 && (s.singleZone || zones.size === 1)) {
      return { never: 'apart: the tasks of a gang must be in two zones, and may not be' };
    }
    return 'ok';
  }
}

/** A machine type without its prices, which change all the time. */
const withoutPrices = (type: MachineType): MachineType => ({
  ...type,
  onDemandPrice: 0,
  spotPrice: 0,
});
