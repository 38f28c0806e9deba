/**
 * The life cycle of a gang: a job whose tasks run all at the same time or not at all. Pure functions of what
 * is known of its tasks; `gang-controller.ts` carries out what they decide.
 *
 * All tasks of an attempt are placed in one transaction under one attempt number. An attempt that loses a task
 * ends as a whole, whether or not it had begun to run, and the next one is placed only when every task
 * of this one is proven absent. So it need not be known for certain whether a gang had started.
 */
import { ms, type DurationMs } from '../units/index.js';

/** Where a gang is in its life cycle. */
export type GangPhase =
  /** No task of it may be on a machine. */
  | 'waiting'
  /** Placed; not every task has been reported yet. */
  | 'placed'
  /** Every task is on its machine; not all have been seen running. */
  | 'starting'
  | 'running'
  /** Its tasks are being stopped, or one of them is lost. */
  | 'stopping'
  | 'done';

/** What is known of a placed task. */
export interface GangTask {
  /** Its machine has reported it. */
  readonly isReported: boolean;
  readonly isRunning: boolean;
  readonly isStopping: boolean;
  /** How long until the cloud reclaims its machine; undefined if it has announced nothing. */
  readonly timeToReclaim: DurationMs | undefined;
  /** A command can be pushed to its machine now. */
  readonly isReachable: boolean;
}

/** What is known of a gang. */
export interface GangState {
  readonly taskCount: number;
  readonly waitingCount: number;
  readonly doneCount: number;
  /** Its placed tasks. */
  readonly tasks: readonly GangTask[];
  /** How long a task takes to save a checkpoint; undefined if it can't. */
  readonly checkpointDuration: DurationMs | undefined;
}

/** What is to be done with a gang. */
export type GangAction =
  | 'none'
  /** One task is done, so all are: they complete together. */
  | 'complete'
  /** Stop what is left of the attempt, at once. */
  | 'stopAttempt'
  /** Stop all tasks together, so that each saves a checkpoint. */
  | 'checkpointAndStop';

/** Time beyond that for a checkpoint: for delivery of the commands, and for one to be sent again. */
const SAVE_MARGIN = ms(3000);

/** The phase that follows from the states of a gang's tasks. */
export function gangPhase({ taskCount, doneCount, tasks }: GangState): GangPhase {
  if (doneCount > 0) return 'done';
  if (tasks.length === 0) return 'waiting';
  if (tasks.length < taskCount || tasks.some((task) => task.isStopping)) return 'stopping';
  if (tasks.every((task) => task.isRunning)) return 'running';
  return tasks.every((task) => task.isReported) ? 'starting' : 'placed';
}

/** The action that a gang needs now; repeating it has no effect. */
export function nextGangAction(gang: GangState): GangAction {
  const phase = gangPhase(gang);
  if (phase === 'done') return gang.waitingCount + gang.tasks.length > 0 ? 'complete' : 'none';
  // Without the lost task the others would only occupy their machines until they notice.
  if (phase === 'stopping' && gang.tasks.length < gang.taskCount) return 'stopAttempt';
  if (phase === 'running' && mustSave(gang)) return 'checkpointAndStop';
  return 'none';
}

/**
 * Whether a machine is about to be reclaimed and the gang can still save. That is done as late as possible, since
 * the gang makes progress until then and may complete. A checkpoint fails unless all tasks take part, so none is
 * tried if a machine can't be reached.
 */
function mustSave({ tasks, checkpointDuration }: GangState): boolean {
  if (checkpointDuration === undefined) return false;
  const leavesIn = Math.min(...tasks.map((task) => task.timeToReclaim ?? Infinity));
  if (leavesIn < checkpointDuration || leavesIn > checkpointDuration + SAVE_MARGIN) return false;
  return tasks.every((task) => task.isReachable);
}
