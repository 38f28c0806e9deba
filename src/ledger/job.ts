/** The in-memory state of a job: the placements of its tasks, and which version of it the store holds. */
import {
  Attempt,
  type JobId,
  type MachineId,
  type Revision,
  type SteadyMs,
  type WallMs,
} from '../units/index.js';
import { JobKind, JobStatus, type JobSpec } from '../wire/index.js';
import { IndexRanges } from './index-ranges.js';

/** Where, when and in which version of its job a task was placed. */
export interface PlacementOrigin {
  readonly machine: MachineId;
  readonly attempt: Attempt;
  /** The job version that added this placement. The start may be sent once that version is committed. */
  readonly version: number;
  /** An earlier leader made this placement, and may have sent starts that this leader does not know of. */
  readonly isInherited: boolean;
  readonly placedAt: SteadyMs;
}

/**
 * A machine on which a task runs or may run. The placement is removed only on proof that the task is no longer on
 * that machine.
 */
export interface Placement extends PlacementOrigin {
  /** The heartbeat whose response last carried the start. */
  startSentInResponseTo?: { readonly session: number; readonly sequence: number };
  /** A heartbeat has reported this attempt. */
  isReported: boolean;
  /** The start was sent as a direct command. */
  isStartSentDirectly: boolean;
  /** The stop was sent as a direct command. */
  isStopSentDirectly: boolean;
  /**
   * Set if the task is to be evicted, so that it can run elsewhere or later: the seconds that it has to save a
   * checkpoint.
   */
  evictionGraceSeconds?: number;
  /** A heartbeat has reported the task as running. */
  hasRun?: boolean;
  /** Whether the machine was believed to have the image when the task was placed. Only logged. */
  wasImageCached?: boolean;
}

/** A placement for which this leader has sent no command and that no heartbeat has reported. */
export const newPlacement = (origin: PlacementOrigin): Placement => ({
  machine: origin.machine,
  attempt: origin.attempt,
  version: origin.version,
  isInherited: origin.isInherited,
  placedAt: origin.placedAt,
  isReported: false,
  isStartSentDirectly: false,
  isStopSentDirectly: false,
});

/** The progress of one version of a job. Users only see that of a version which is in the store. */
export interface JobProgress {
  readonly isCancelled: boolean;
  /** How many tasks are done. */
  readonly doneCount: number;
  /** How many tasks are placed. */
  readonly placedCount: number;
}

/** The state of a finished job, which is kept permanently. */
export interface FinalState {
  readonly status: typeof JobStatus.done | typeof JobStatus.cancelled;
  readonly taskCount: number;
  /** How many tasks are done. */
  readonly doneCount: number;
  readonly team: string;
  /** Explains the status to users. */
  readonly reason: string;
}

/** Whether the job is a gang: its tasks run all at the same time or not at all. */
export const isGang = (spec: Pick<JobSpec, 'kind'>): boolean => spec.kind === JobKind.gang;

/** The reasons for writing a record, most urgent first. */
export const WritePriority = {
  /** A submission or a cancellation: a user waits for the response. */
  userRequest: 0,
  /** New placements: the starts are sent once these are committed. */
  placement: 1,
  /** The last task of a job has ended, or a task of a cancelled job is no longer on its machine. */
  jobEnd: 2,
  /** A change that only avoids repeated work after a failover. */
  progress: 3,
  /** No change since the last transaction. */
  none: 4,
} as const;
export type WritePriority = (typeof WritePriority)[keyof typeof WritePriority];

/** A live job. Each of its tasks either waits or is placed; a task that does neither is done. */
export class Job {
  // --- contents of the record --------------------------------------------------------------------

  isCancelled = false;
  /** Indexes of the tasks that wait for a placement. */
  readonly waitingTasks: IndexRanges;
  /** Placements by task index. */
  readonly placements = new Map<number, Placement>();
  /** The attempt number that the next placed tasks get. No two placements of a task share one. */
  nextAttempt = Attempt(1);
  /** The zone of a job whose tasks must all be in one zone; undefined before the job is placed. */
  boundZone: string | undefined;

  // --- versions and the state of the store -------------------------------------------------------

  /** Increases with each change in memory. */
  version = 1;
  /** The highest version that is known to be in the store; 0 if there is none. */
  committedVersion = 0;
  /** The store revision of the record; 0 if there is no record. The next write applies only to this revision. */
  revision: Revision;
  /** When this leader learned that its cancellation is in the store; undefined if an earlier leader wrote it. */
  cancellationStoredAt: SteadyMs | undefined;
  /** The progress at the committed version. */
  committedProgress: JobProgress = { isCancelled: false, doneCount: 0, placedCount: 0 };

  // --- pending and unresolved writes -------------------------------------------------------------

  /** The most urgent reason for a write since the job was last added to a transaction. */
  writePriority: WritePriority = WritePriority.none;
  /** A transaction with the job's record is in flight, or its outcome is being determined. */
  hasWriteInFlight = false;
  /**
   * The write in flight, or one that is held back, makes the job cancelled or finished: other controllers may already
   * read that.
   */
  hasTerminalWriteInFlight = false;
  /**
   * A write that makes the job cancelled or finished got no response. It may be applied at any time, until a later
   * write of the record is applied.
   */
  isTerminalOutcomeUnknown = false;
  /** The creation got no response: it must be retried until the outcome is known. */
  isCreationOutcomeUnknown = false;
  /** Called after each change that must be written. */
  onChange: (() => void) | undefined;

  // --- when and where its tasks may be placed ----------------------------------------------------

  /**
   * When this leader last placed a task of the job, or read a record in which a task is placed; undefined if neither
   * has happened.
   */
  lastPlacedAt: SteadyMs | undefined;
  /** Machines on which tasks of the job failed, with the time until which none is placed there. */
  readonly avoidedMachines = new Map<MachineId, SteadyMs>();
  /** No task of the job is placed before this time, after failures. */
  backoffUntil = 0 as SteadyMs;
  /** How many times the job has backed off. */
  backoffCount = 0;

  /** Creates a job whose tasks all wait. */
  constructor(
    readonly id: JobId,
    readonly spec: JobSpec,
    readonly submittedAt: WallMs,
    revision: Revision,
  ) {
    this.revision = revision;
    this.waitingTasks = IndexRanges.of([[0, spec.taskCount]]);
  }

  get isGang(): boolean {
    return isGang(this.spec);
  }

  get doneCount(): number {
    return this.spec.taskCount - this.waitingTasks.size - this.placements.size;
  }

  /** Whether no task waits or may run, so that the live record can be replaced by the final record. */
  get isFinished(): boolean {
    return this.placements.size === 0 && (this.isCancelled || this.waitingTasks.size === 0);
  }

  /**
   * The number of tasks that are not done, without the waiting range at the end of the indexes, which needs little
   * space however long it is. The size of the record depends on this number.
   */
  get openTaskCount(): number {
    const lastWaiting = this.waitingTasks.lastRange();
    const trailingCount =
      lastWaiting?.[1] === this.spec.taskCount ? lastWaiting[1] - lastWaiting[0] : 0;
    return this.placements.size + this.waitingTasks.size - trailingCount;
  }

  isTaskDone(task: number): boolean {
    return task < this.spec.taskCount && !this.waitingTasks.has(task) && !this.placements.has(task);
  }

  /** Starts a new version, which is written with at least this priority. */
  markChanged(priority: WritePriority): void {
    this.version++;
    if (priority < this.writePriority) this.writePriority = priority;
    this.onChange?.();
  }

  /** Places waiting tasks, all in one new version and with one new attempt number. */
  placeTasks(tasks: readonly { index: number; machine: MachineId }[], now: SteadyMs): void {
    const attempt = this.nextAttempt;
    this.nextAttempt = Attempt(attempt + 1);
    this.markChanged(WritePriority.placement);
    this.lastPlacedAt = now;
    const { version } = this;
    for (const { index, machine } of tasks) {
      if (!this.waitingTasks.remove(index))
        throw new Error(`task ${this.id}/${index} is not waiting, so it can't be placed`);
      this.placements.set(
        index,
        newPlacement({ machine, attempt, version, isInherited: false, placedAt: now }),
      );
    }
  }

  /** Returns a task to the waiting tasks. The caller has proof that it is on no machine. */
  requeueTask(index: number): void {
    if (!this.placements.delete(index)) return;
    this.waitingTasks.add(index);
    this.markChanged(this.isCancelled ? WritePriority.jobEnd : WritePriority.progress);
  }

  /** Marks a task as done, whether it was placed or waiting. */
  completeTask(index: number): void {
    if (!this.placements.delete(index)) this.waitingTasks.remove(index);
    this.markChanged(
      this.waitingTasks.size + this.placements.size === 0
        ? WritePriority.jobEnd
        : WritePriority.progress,
    );
  }

  cancel(): void {
    if (this.isCancelled) return;
    this.isCancelled = true;
    this.markChanged(WritePriority.userRequest);
  }

  /**
   * Copies the in-memory state of `previous`, which this job, read from the store, replaces: a transaction of this
   * controller that it had given up on was applied late. Where both have the same attempt on the same machine,
   * what was sent to the machine and reported by it still applies. As an inherited placement, the attempt would count
   * as absent while its start is in flight. Version numbers continue from those already used, so that
   * no later record can be mistaken for an earlier one of the same epoch.
   */
  inheritFrom(previous: Job): void {
    this.version = previous.version + 1;
    this.committedVersion = this.version;
    this.nextAttempt = Attempt(Math.max(this.nextAttempt, previous.nextAttempt));
    for (const [index, { machine, attempt }] of this.placements) {
      const known = previous.placements.get(index);
      if (known?.machine === machine && known.attempt === attempt && !known.isInherited) {
        this.placements.set(index, { ...known, version: this.committedVersion });
      }
    }
    this.lastPlacedAt = previous.lastPlacedAt ?? this.lastPlacedAt;
    this.backoffUntil = previous.backoffUntil;
    this.backoffCount = previous.backoffCount;
    for (const [machine, until] of previous.avoidedMachines)
      this.avoidedMachines.set(machine, until);
  }

  /** The progress of the version in memory. Users see `committedProgress`. */
  progress(): JobProgress {
    return {
      isCancelled: this.isCancelled,
      doneCount: this.doneCount,
      placedCount: this.placements.size,
    };
  }

  /** The final state, valid once `isFinished` is true. */
  finalState(): FinalState {
    return {
      status: this.isCancelled ? JobStatus.cancelled : JobStatus.done,
      taskCount: this.spec.taskCount,
      doneCount: this.doneCount,
      team: this.spec.team,
      reason: this.isCancelled ? 'cancelled by its user' : 'all tasks done',
    };
  }
}

/** The status of a job with `taskCount` tasks at this progress. */
export function jobStatusOf(progress: JobProgress, taskCount: number): JobStatus {
  if (progress.isCancelled) return JobStatus.cancelled;
  if (progress.doneCount >= taskCount) return JobStatus.done;
  return progress.placedCount > 0 ? JobStatus.running : JobStatus.pending;
}
