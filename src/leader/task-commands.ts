/** Builds commands to workers for one attempt of a task. */
import type { KillCommand, PlainCommand } from '../wire/index.js';

/** Starts the task. Repeated commands have no effect until the worker has forgotten the attempt. */
export const startCommand = (task: string, attempt: number): PlainCommand => ({
  type: 'launch',
  task,
  attempt,
});

/** Makes the worker forget an attempt that has exited. */
export const clearCommand = (task: string, attempt: number): PlainCommand => ({
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
