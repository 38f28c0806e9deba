import { Flavors, type Flavor, type JobSpec } from '../wire/index.js';
import type { Team } from '../config/settings.js';

export type Verdict = 'ok' | 'unsure' | { readonly never: string };

/**
 * The machine types, their prices and zones, as last read. What rarely changes is also kept in the
 * state service, so that a node that starts while the cloud is out can still judge submissions.
 */
export class Catalog {
  private types = new Map<string, Flavor>();

  get known(): boolean {
    return this.types.size > 0;
  }

  flavor(name: string): Flavor | undefined {
    return this.types.get(name);
  }

  all(): Flavor[] {
    return [...this.types.values()];
  }

  /** Takes what was read; true if anything but prices changed, so that it is worth keeping. */
  update(flavors: readonly Flavor[]): boolean {
    const before = JSON.stringify(this.all().map(shape));
    this.types = new Map(flavors.map((f) => [f.name, f]));
    return JSON.stringify(this.all().map(shape)) !== before;
  }

  /** From the state service, if nothing newer is known. */
  restore(data: unknown): void {
    if (this.known) return;
    const parsed = Flavors.safeParse(data);
    if (parsed.success) this.update(parsed.data.builds);
  }

  keep(): { builds: Flavor[] } {
    return { builds: this.all() };
  }

  /** Whether a job can ever run here. */
  judge(s: JobSpec, teams: ReadonlyMap<string, Team>): Verdict {
    const team = teams.get(s.desk);
    if (!team) return { never: `desk: no team ${s.desk}` };
    // A gang is on machines as a whole, of others at least one task at a time.
    const whole = s.shape === 'ensemble';
    const least = whole ? s.entries : 1;
    if (
      (team.cpusMax > 0 && least * s.vcpus > team.cpusMax) ||
      (team.gpusMax > 0 && least * s.gpus > team.gpusMax)
    ) {
      return { never: `desk: it needs more at once than the limit of ${s.desk}` };
    }
    if (!this.known) return 'unsure';
    const zones = new Set<string>();
    for (const f of this.types.values()) {
      if (s.builds !== null && !s.builds.includes(f.name)) continue;
      if (s.vcpus > f.vcpus || s.gpus > f.gpus || s.ram_gb > f.ram_gb) continue;
      for (const hall of f.halls) if (s.hall === null || s.hall === hall) zones.add(hall);
    }
    if (zones.size === 0) return { never: 'a task fits no allowed machine type' };
    // Tasks of their own can take turns in one zone; a gang that may have half of them there can't.
    if (whole && s.apart && s.entries > 1 && (s.together || zones.size === 1)) {
      return { never: 'apart: the tasks of a gang must be in two zones, and may not be' };
    }
    return 'ok';
  }
}

const shape = (f: Flavor): unknown => ({ ...f, rate: 0, spot_price: 0 });
