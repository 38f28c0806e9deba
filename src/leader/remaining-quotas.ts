/** Works out what each team may still start under its quota. */
import type { Team } from '../config/settings.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Ledger } from '../ledger/ledger.js';
import type { RemainingQuota } from '../placer/placer.js';
import { JobId, parseTaskKey } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';

/**
 * The remaining quota of each limited team; teams without a limit have no entry. All tasks that may be on machines
 * count: those placed by record, and orphaned ones, which no placement accounts for.
 */
export function remainingQuotas(
  teams: Iterable<Team>,
  ledger: Pick<Ledger, 'jobs' | 'finalState'>,
  fleet: Pick<Fleet, 'orphanedTasks'>,
): Map<string, RemainingQuota> {
  const quotas = fullQuotas(teams);
  if (quotas.size === 0) return quotas;
  for (const job of ledger.jobs.values()) subtractTasks(quotas, job.spec, job.placements.size);
  for (const [key, machines] of fleet.orphanedTasks) {
    const id = parseTaskKey(key)?.job ?? JobId('');
    const spec = ledger.jobs.get(id)?.spec;
    if (spec) subtractTasks(quotas, spec, machines.size);
    else exhaust(quotas, ledger.finalState(id)?.team);
  }
  return quotas;
}

/** A limit of 0 or less in the settings means no limit. */
function fullQuotas(teams: Iterable<Team>): Map<string, RemainingQuota> {
  const quotas = new Map<string, RemainingQuota>();
  for (const { name, maxCpus, maxGpus } of teams) {
    if (maxCpus <= 0 && maxGpus <= 0) continue;
    quotas.set(name, {
      cpus: maxCpus > 0 ? maxCpus : Infinity,
      gpus: maxGpus > 0 ? maxGpus : Infinity,
    });
  }
  return quotas;
}

function subtractTasks(
  quotas: ReadonlyMap<string, RemainingQuota>,
  spec: JobSpec,
  tasks: number,
): void {
  const quota = quotas.get(spec.team);
  if (!quota) return;
  quota.cpus -= tasks * spec.cpus;
  quota.gpus -= tasks * spec.gpus;
}

/**
 * The task size of a job that is over is not known any more. Until its orphaned task is gone, its team, or if that is
 * not known either every team, may start nothing: otherwise it could exceed its quota.
 */
function exhaust(quotas: ReadonlyMap<string, RemainingQuota>, team: string | undefined): void {
  for (const [name, quota] of quotas) {
    if (team !== undefined && team !== name) continue;
    quota.cpus = Math.min(0, quota.cpus);
    quota.gpus = Math.min(0, quota.gpus);
  }
}
