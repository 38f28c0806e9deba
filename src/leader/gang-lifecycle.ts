/**
 * The life cycle of a gang: a job whose tasks run all at the same time or not at all. Pure functions of what
 * is known of its tasks; what follows from them is done in `gangs.ts`.
 *
 * All tasks of an attempt are placed in one transaction under one attempt number. An attempt that loses a task
 * ends as a whole, whether or not it had begun to run, and the next one is placed only when every task
 * of this one is proven gone. So it need not be known for certain whether a gang had started.
 */
import { ms, type DurationMs } from '../units/index.js';

export type GangPhase =
  /** No task of it may be on a machine. */
  | 'waiting'
  /** Placed; not every task has been reported yet. */
  | 'placed'
  /** Every task is on its machine; not all have been seen running. */
  | 'gathering'
  | 'running'
  /** Its tasks are told to stop, or one of them is lost. */
  | 'stopping'
  | 'done';

export interface GangTask {
  /** Its machine has reported it. */
  readonly isReported: boolean;
  readonly isRunning: boolean;
  readonly isStopping: boolean;
  /** How long its machine will still be there; undefined if nothing is known of its end. */
  readonly machineLeavesIn: DurationMs | undefined;
  /** A command can be sent to its machine now. */
  readonly isReachable: boolean;
}

export interface GangView {
  readonly taskCount: number;
  readonly waitingCount: number;
  readonly doneCount: number;
  /** What its tasks on machines do. */
  readonly tasks: readonly GangTask[];
  /** How long a task takes to save; undefined if it can't. */
  readonly checkpointTime: DurationMs | undefined;
}

export type GangAction =
  | 'none'
  /** One task is done, so all are: they complete together. */
  | 'complete'
  /** Stop what is left of the attempt, at once. */
  | 'endAttempt'
  /** Stop all tasks together, so that each saves what it has done. */
  | 'saveAndStop';

/** Beyond the time that saving takes: for the commands to arrive, and for one that has to be sent again. */
const SAVE_MARGIN = ms(3000);

export function phaseOf({ taskCount: entries, doneCount: done, tasks }: GangView): GangPhase {
  if (done > 0) return 'done';
  if (tasks.length === 0) return 'waiting';
  if (tasks.length < entries || tasks.some((t) => t.isStopping)) return 'stopping';
  if (tasks.every((t) => t.isRunning)) return 'running';
  return tasks.every((t) => t.isReported) ? 'gathering' : 'placed';
}

export function nextAction(gang: GangView): GangAction {
  const phase = phaseOf(gang);
  if (phase === 'done') return gang.waitingCount + gang.tasks.length > 0 ? 'complete' : 'none';
  // A task that is gone takes the others with it: they would only hold room until they notice.
  if (phase === 'stopping' && gang.tasks.length < gang.taskCount) return 'endAttempt';
  if (phase === 'running' && mustSave(gang)) return 'saveAndStop';
  return 'none';
}

/**
 * Whether a machine is about to be taken, and the gang can still save. As late as possible: until then it
 * works, and may complete. A save fails unless all tasks are told, so it isn't tried where one can't be.
 */
function mustSave({ tasks, checkpointTime: saveTime }: GangView): boolean {
  if (saveTime === undefined) return false;
  const leavesIn = Math.min(...tasks.map((t) => t.machineLeavesIn ?? Infinity));
  if (leavesIn < saveTime || leavesIn > saveTime + SAVE_MARGIN) return false;
  return tasks.every((t) => t.isReachable);
}
