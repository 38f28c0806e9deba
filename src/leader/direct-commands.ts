/** Chooses the commands that are sent to a machine directly, without waiting for its next heartbeat. */
import type { Machine } from '../fleet/machine.js';
import type { Job, Placement } from '../ledger/job.js';
import type { JobId, TaskKey } from '../units/index.js';
import type { Command } from '../wire/index.js';
import { isCommitted, isStartUnsent, shouldStopTask } from './placement-state.js';
import { MAX_COMMANDS_PER_MESSAGE } from './response-commands.js';
import { killCommand, startCommand } from './task-commands.js';

/**
 * Chooses the commands for a machine, and marks them in the placements as sent directly.
 *
 * @param canSendStarts whether start commands are included, rather than left to the responses to heartbeats
 */
export function prepareDirectCommands(
  machine: Machine,
  jobs: ReadonlyMap<JobId, Job>,
  canSendStarts: boolean,
): Command[] {
  const commands: Command[] = [];
  const canStartOnMachine = canSendStarts && !machine.isDraining;
  for (const [key, { job: id, index, attempt }] of machine.assignments) {
    if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
    const job = jobs.get(id);
    const placement = job?.placements.get(index);
    if (!job || !placement || !isCommitted(job, placement)) continue;
    if (shouldStopTask(job, placement)) addStop(commands, key, attempt, job, placement);
    else if (canStartOnMachine && isStartUnsent(placement)) {
      placement.isStartSentDirectly = true;
      commands.push(startCommand(key, attempt));
    }
  }
  return commands;
}

/** Records the start commands of a request that is sent with this fencing token. */
export function recordDirectStarts(
  machine: Machine,
  commands: readonly Command[],
  fencingToken: number,
): void {
  for (const { type, task, attempt } of commands)
    if (type === 'launch') machine.directStarts.recordSent({ task, attempt, fencingToken });
}

function addStop(
  commands: Command[],
  key: TaskKey,
  attempt: number,
  job: Job,
  placement: Placement,
): void {
  if (placement.isStopSentDirectly || isStartUnsent(placement)) return;
  placement.isStopSentDirectly = true;
  const graceSeconds = job.isCancelled ? 0 : (placement.evictionGraceSeconds ?? 0);
  commands.push(killCommand(key, attempt, graceSeconds));
}
