/** The commands that are pushed to a machine, without waiting for its next heartbeat. */
import type { Machine } from '../fleet/machine.js';
import { attemptKey } from '../fleet/worker-status.js';
import type { Job, Placement } from '../ledger/job.js';
import type { JobId, TaskKey } from '../units/index.js';
import type { Command } from '../wire/index.js';
import { isCommitted, isStartUnsent, shouldStopTask } from './placement-state.js';
import { MAX_COMMANDS } from './reply-commands.js';
import { kill, launch } from './task-commands.js';

/** Commands for one machine. */
export interface Push {
  readonly commands: Command[];
  /** The attempts, by `attemptKey`, whose start is among the commands. */
  readonly started: string[];
}

/**
 * Chooses the commands for a machine, and marks them as pushed in the placements.
 *
 * @param mayStart whether starts are pushed too, rather than left to the replies to heartbeats
 */
export function preparePush(
  machine: Machine,
  jobs: ReadonlyMap<JobId, Job>,
  mayStart: boolean,
): Push {
  const push: Push = { commands: [], started: [] };
  const mayStartHere = mayStart && !machine.isDraining;
  for (const [key, { job: id, index, attempt }] of machine.assignments) {
    if (push.commands.length >= MAX_COMMANDS) break;
    const job = jobs.get(id);
    const placement = job?.placements.get(index);
    if (!job || !placement || !isCommitted(job, placement)) continue;
    if (shouldStopTask(job, placement)) addStop(push, key, attempt, job, placement);
    else if (mayStartHere && isStartUnsent(placement)) {
      placement.isStartPushed = true;
      addStart(push, machine, key, attempt);
    }
  }
  return push;
}

function addStop(
  { commands }: Push,
  key: TaskKey,
  attempt: number,
  job: Job,
  placement: Placement,
): void {
  if (placement.isStopPushed || isStartUnsent(placement)) return;
  placement.isStopPushed = true;
  const graceSeconds = job.isCancelled ? 0 : (placement.evictionGraceSeconds ?? 0);
  commands.push(kill(key, attempt, graceSeconds));
}

function addStart(
  { commands, started }: Push,
  machine: Machine,
  key: TaskKey,
  attempt: number,
): void {
  const startedAttempt = attemptKey(key, attempt);
  machine.pushedStarts.noteSent(startedAttempt);
  started.push(startedAttempt);
  commands.push(launch(key, attempt));
}
