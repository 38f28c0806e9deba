/** Chooses the commands that are sent to a machine directly, without waiting for its next heartbeat. */
import type { Machine } from '../fleet/machine.js';
import { attemptKey } from '../fleet/worker-status.js';
import type { Job, Placement } from '../ledger/job.js';
import type { JobId, TaskKey } from '../units/index.js';
import type { Command } from '../wire/index.js';
import { isCommitted, isStartUnsent, shouldStopTask } from './placement-state.js';
import { MAX_COMMANDS_PER_MESSAGE } from './response-commands.js';
import { killCommand, startCommand } from './task-commands.js';

/** Commands for one machine, sent in one request. */
export interface DirectCommands {
  readonly fencingToken: number;
  readonly commands: Command[];
  /** Attempts, as `attemptKey`, whose start command is included. */
  readonly startedAttempts: string[];
}

/**
 * Chooses the commands for a machine, and marks them in the placements as sent directly.
 *
 * @param fencingToken the token with which they are sent
 * @param canSendStarts whether start commands are included, rather than left to the responses to heartbeats
 */
export function prepareDirectCommands(
  machine: Machine,
  jobs: ReadonlyMap<JobId, Job>,
  fencingToken: number,
  canSendStarts: boolean,
): DirectCommands {
  const batch: DirectCommands = { fencingToken, commands: [], startedAttempts: [] };
  const canStartOnMachine = canSendStarts && !machine.isDraining;
  for (const [key, { job: id, index, attempt }] of machine.assignments) {
    if (batch.commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
    const job = jobs.get(id);
    const placement = job?.placements.get(index);
    if (!job || !placement || !isCommitted(job, placement)) continue;
    if (shouldStopTask(job, placement)) addStop(batch, key, attempt, job, placement);
    else if (canStartOnMachine && isStartUnsent(placement)) {
      placement.isStartSentDirectly = true;
      addStart(batch, machine, key, attempt);
    }
  }
  return batch;
}

function addStop(
  { commands }: DirectCommands,
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

function addStart(
  { fencingToken, commands, startedAttempts }: DirectCommands,
  machine: Machine,
  key: TaskKey,
  attempt: number,
): void {
  machine.directStarts.recordSent({ task: key, attempt, fencingToken });
  startedAttempts.push(attemptKey(key, attempt));
  commands.push(startCommand(key, attempt));
}
