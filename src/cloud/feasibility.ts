/**
 * Checks whether a submitted job could ever run with the current teams and machine types. The check is pure, so
 * that every controller refuses the same jobs for the same reason.
 */
import type { Team } from '../config/settings.js';
import { JobKind, TEAM_FIELD, type JobSpec, type MachineType } from '../wire/index.js';

/** Whether a job can ever run. */
export type Feasibility =
  | { readonly kind: 'feasible' }
  /** The machine types are not known yet. */
  | { readonly kind: 'undecided' }
  /** `reason` is part of the response to the user. */
  | { readonly kind: 'infeasible'; readonly reason: string };

/** Checks a job against its team's quota and the machine types; an empty list means that they are not known yet. */
export function checkFeasibility(
  spec: JobSpec,
  teams: ReadonlyMap<string, Team>,
  machineTypes: readonly MachineType[],
): Feasibility {
  const teamReason =
    unknownTeamReason(spec, teams) ?? quotaExceededReason(spec, teams.get(spec.team));
  if (teamReason !== undefined) return { kind: 'infeasible', reason: teamReason };
  if (machineTypes.length === 0) return { kind: 'undecided' };
  const zones = eligibleZones(spec, machineTypes);
  const zoneReason = noEligibleZoneReason(zones) ?? zoneSpreadReason(spec, zones);
  if (zoneReason !== undefined) return { kind: 'infeasible', reason: zoneReason };
  return { kind: 'feasible' };
}

const isGang = (spec: JobSpec): boolean => spec.kind === JobKind.gang;

function unknownTeamReason(spec: JobSpec, teams: ReadonlyMap<string, Team>): string | undefined {
  return teams.has(spec.team) ? undefined : `${TEAM_FIELD}: no team ${spec.team}`;
}

/** A limit of 0 means no limit. */
function quotaExceededReason(spec: JobSpec, team: Team | undefined): string | undefined {
  if (!team) return undefined;
  // All tasks of a gang run at once; those of an array may run one at a time.
  const minConcurrentTasks = isGang(spec) ? spec.taskCount : 1;
  const exceedsCpus = team.maxCpus > 0 && minConcurrentTasks * spec.cpus > team.maxCpus;
  const exceedsGpus = team.maxGpus > 0 && minConcurrentTasks * spec.gpus > team.maxGpus;
  if (!exceedsCpus && !exceedsGpus) return undefined;
  return `${TEAM_FIELD}: it needs more at once than the limit of ${spec.team}`;
}

/** The allowed zones that offer an allowed machine type large enough for a task. */
function eligibleZones(spec: JobSpec, machineTypes: readonly MachineType[]): ReadonlySet<string> {
  const zones = new Set<string>();
  for (const type of machineTypes) {
    if (!canHoldTask(spec, type)) continue;
    for (const zone of type.zones) {
      if (spec.zone === null || spec.zone === zone) zones.add(zone);
    }
  }
  return zones;
}

const canHoldTask = (spec: JobSpec, type: MachineType): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
  spec.cpus <= type.cpus &&
  spec.gpus <= type.gpus &&
  spec.memoryGb <= type.memoryGb;

function noEligibleZoneReason(zones: ReadonlySet<string>): string | undefined {
  return zones.size === 0 ? 'a task fits no allowed machine type' : undefined;
}

/**
 * At most half of a gang with spread zones may be in one zone, so it needs at least two zones. Tasks of an array
 * can run one after the other in a single zone.
 */
function zoneSpreadReason(spec: JobSpec, zones: ReadonlySet<string>): string | undefined {
  if (!isGang(spec) || !spec.spreadZones || spec.taskCount <= 1) return undefined;
  if (!spec.singleZone && zones.size > 1) return undefined;
  return 'apart: the tasks of a gang must be in two zones, and may not be';
}
