/** Builds commands to workers for one attempt of a task. */
import { attemptKey } from '../fleet/worker-status.js';
import type { Command, KillCommand, StartOrClearCommand } from '../wire/index.js';

/** Starts the task. Repeated commands have no effect until the worker has forgotten the attempt. */
export const startCommand = (task: string, attempt: number): StartOrClearCommand => ({
  type: 'launch',
  task,
  attempt,
});

/** Makes the worker forget an attempt that has exited. */
export const clearCommand = (task: string, attempt: number): StartOrClearCommand => ({
  type: 'clear',
  task,
  attempt,
});

/** Stops the task. It may save a checkpoint within the grace period. */
export const killCommand = (
  task: string,
  attempt: number,
  gracePeriodSeconds: number,
): KillCommand => ({
  type: 'kill',
  task,
  attempt,
  gracePeriodSeconds,
});

/** The attempt that a command is for, as `attemptKey`. */
export const attemptOf = ({ task, attempt }: Command): string => attemptKey(task, attempt);
