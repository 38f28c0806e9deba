/** Commands to workers for one attempt of a task. */
import type { KillCommand, StartOrClearCommand } from '../wire/index.js';

/** Starts the task. Repeats have no effect until the worker has forgotten the attempt. */
export const launch = (task: string, attempt: number): StartOrClearCommand => ({
  type: 'launch',
  task,
  attempt,
});

/** Makes the worker forget an attempt that has exited. */
export const clear = (task: string, attempt: number): StartOrClearCommand => ({
  type: 'clear',
  task,
  attempt,
});

/** Stops the task, which may save a checkpoint within the grace period. */
export const kill = (task: string, attempt: number, gracePeriodSeconds: number): KillCommand => ({
  type: 'kill',
  task,
  attempt,
  gracePeriodSeconds,
});
