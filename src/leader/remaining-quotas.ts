/** Computes how much of its quota each team has left for new tasks. */
import type { Team } from '../config/settings.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Ledger } from '../ledger/ledger.js';
import type { RemainingQuota } from '../placer/placer.js';
import { JobId, parseTaskKey } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';

/**
 * Computes the remaining quota of each limited team; teams without a limit have no entry. All tasks that may be on
 * machines count: those with a recorded placement, and orphaned ones, which have none.
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
    else exhaustQuota(quotas, ledger.finalState(id)?.team);
  }
  return quotas;
}

/** The quotas of all limited teams before any use. A limit of 0 or less in the settings means no limit. */
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
  taskCount: number,
): void {
  const quota = quotas.get(spec.team);
  if (!quota) return;
  quota.cpus -= taskCount * spec.cpus;
  quota.gpus -= taskCount * spec.gpus;
}

/**
 * Leaves a team without any quota. This is needed for an orphaned task of a finished job, because the size of the task
 * is no longer known. Until the task is gone, its team must not start anything, since it could exceed its quota. If the
 * team is unknown too, this applies to every team.
 */
function exhaustQuota(quotas: ReadonlyMap<string, RemainingQuota>, team: string | undefined): void {
  for (const [name, quota] of quotas) {
    if (team !== undefined && team !== name) continue;
    quota.cpus = Math.min(0, quota.cpus);
    quota.gpus = Math.min(0, quota.gpus);
  }
}
