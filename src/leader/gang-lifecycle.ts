/**
 * The life cycle of a gang: a job whose tasks all run at the same time or not at all. The functions here are pure and
 * take the known state of the tasks; `gang-manager.ts` carries out the actions that they choose.
 *
 * All tasks of an attempt are placed in one transaction under one attempt number. An attempt that loses a task
 * is stopped as a whole, whether or not it had begun to run. The next attempt is placed only when every task of the
 * stopped attempt is proven absent. It is therefore not necessary to know for certain whether a gang had started.
 */
import { ms, type DurationMs } from '../units/index.js';

/** A phase in the life cycle of a gang. */
export type GangPhase =
  /** None of its tasks can be on a machine. */
  | 'waiting'
  /** Placed; not every task has been reported yet. */
  | 'placed'
  /** Every task is on its machine, but not all have been reported as running. */
  | 'starting'
  | 'running'
  /** Its tasks are being stopped, or one of them is lost. */
  | 'stopping'
  | 'done';

/** The known state of a placed task. */
export interface GangTask {
  /** Whether its machine has reported it. */
  readonly isReported: boolean;
  readonly isRunning: boolean;
  readonly isStopping: boolean;
  /** Time until the cloud reclaims its machine; undefined without a reclaim notice. */
  readonly timeToReclaim: DurationMs | undefined;
  /** Whether a command can be sent directly to its machine now. */
  readonly isReachable: boolean;
}

/** The known state of a gang. */
export interface GangState {
  readonly taskCount: number;
  readonly waitingCount: number;
  readonly doneCount: number;
  /** The placed tasks. */
  readonly tasks: readonly GangTask[];
  /** Time that a task takes to save a checkpoint; undefined if it can't save one. */
  readonly checkpointDuration: DurationMs | undefined;
}

/** An action on a gang. */
export type GangAction =
  | 'none'
  /** Complete all tasks: one is done, and the tasks of a gang complete together. */
  | 'complete'
  /** Stop the remaining tasks of the attempt immediately. */
  | 'stopAttempt'
  /** Stop all tasks together, with time for each to save a checkpoint. */
  | 'checkpointAndStop';

/** Time allowed besides the checkpoint itself: for delivery of the commands, and for one retry. */
const CHECKPOINT_MARGIN = ms(3000);

/** Derives the phase of a gang from the states of its tasks. */
export function gangPhase({ taskCount, doneCount, tasks }: GangState): GangPhase {
  if (doneCount > 0) return 'done';
  if (tasks.length === 0) return 'waiting';
  if (tasks.length < taskCount || tasks.some((task) => task.isStopping)) return 'stopping';
  if (tasks.every((task) => task.isRunning)) return 'running';
  return tasks.every((task) => task.isReported) ? 'starting' : 'placed';
}

/** Chooses the action that a gang needs now. Repeating the action has no effect. */
export function nextGangAction(gang: GangState): GangAction {
  const phase = gangPhase(gang);
  if (phase === 'done') return gang.waitingCount + gang.tasks.length > 0 ? 'complete' : 'none';
  // The other tasks make no progress without the lost one, but occupy their machines until they detect the loss.
  if (phase === 'stopping' && gang.tasks.length < gang.taskCount) return 'stopAttempt';
  if (phase === 'running' && shouldCheckpoint(gang)) return 'checkpointAndStop';
  return 'none';
}

/**
 * Whether the gang should save a checkpoint now, because one of its machines is about to be reclaimed. The checkpoint
 * is saved as late as possible, since the gang makes progress until then and may complete. It fails unless all tasks
 * take part, so it isn't attempted if one of the machines can't be reached.
 */
function shouldCheckpoint({ tasks, checkpointDuration }: GangState): boolean {
  if (checkpointDuration === undefined) return false;
  const timeToFirstReclaim = Math.min(...tasks.map((task) => task.timeToReclaim ?? Infinity));
  if (
    timeToFirstReclaim < checkpointDuration ||
    timeToFirstReclaim > checkpointDuration + CHECKPOINT_MARGIN
  )
    return false;
  return tasks.every((task) => task.isReachable);
}
