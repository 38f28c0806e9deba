/** A job in memory: where its tasks are, and which of its versions the store holds. */
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

/** How a task was placed. */
export interface PlacementOrigin {
  readonly machine: MachineId;
  readonly attempt: Attempt;
  /** The version of the job that made it: its start may be sent once that version is committed. */
  readonly version: number;
  /** Made by an earlier leader, which may have sent starts that this one does not know of. */
  readonly isInherited: boolean;
  readonly placedAt: SteadyMs;
}

/** Where a task is, or may be. It stays until there is proof that the task is not there any more. */
export interface Placement extends PlacementOrigin {
  /** The heartbeat whose reply last carried the start. */
  startSentInResponseTo?: { readonly session: number; readonly sequence: number };
  /** A heartbeat has shown it. */
  isReported: boolean;
  /** Its start was sent straight to the worker. */
  isStartSentDirectly: boolean;
  /** Its stop was sent straight to the worker. */
  isStopSentDirectly: boolean;
  /** Set if it is to be stopped so that it can run elsewhere or later: the seconds that it has to save its state. */
  evictionGraceSeconds?: number;
  /** A heartbeat has shown it running. */
  hasRun?: boolean;
  /** Whether its image was thought to be on the machine when it was placed: for the log. */
  wasImageCached?: boolean;
}

/** A placement that nothing has been sent for and no heartbeat has shown. */
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

/** What users are shown of a job: that of a version which is in the store. */
export interface JobProgress {
  readonly isCancelled: boolean;
  /** How many tasks are done. */
  readonly doneCount: number;
  /** How many tasks are placed. */
  readonly placedCount: number;
}

/** What remains of a job for good. */
export interface FinalState {
  readonly status: typeof JobStatus.done | typeof JobStatus.cancelled;
  readonly taskCount: number;
  /** How many tasks are done. */
  readonly doneCount: number;
  readonly team: string;
  /** The reason of the status, for users. */
  readonly reason: string;
}

/** Whether the tasks of a job run all at the same time or not at all. */
export const isGang = (spec: Pick<JobSpec, 'kind'>): boolean => spec.kind === JobKind.gang;

/** Why a record is to be written, most urgent first. */
export const WritePriority = {
  /** A submission or a cancellation: its user waits for the answer. */
  userRequest: 0,
  /** Placements: their starts are sent once they are committed. */
  placement: 1,
  /** The last task of a job has ended, or a task of a cancelled job is gone. */
  jobEnd: 2,
  /** What only saves repeated work after a failover. */
  progress: 3,
  /** Nothing new since the last transaction. */
  none: 4,
} as const;
export type WritePriority = (typeof WritePriority)[keyof typeof WritePriority];

/** A live job. Each of its tasks waits, is placed or, if neither, is done. */
export class Job {
  // --- what the record says ---------------------------------------------------------------------

  isCancelled = false;
  /** Indexes of the tasks that wait to be placed. */
  readonly waitingTasks: IndexRanges;
  /** Placed tasks by index. */
  readonly placements = new Map<number, Placement>();
  /** The number that the next placing of tasks gives them: no two placements of a task share one. */
  nextAttempt = Attempt(1);
  /** The zone of a job that must be in one; undefined before it is placed. */
  boundZone: string | undefined;

  // --- versions, and what the store holds -------------------------------------------------------

  /** Rises with each change in memory. */
  version = 1;
  /** The highest version that is known to be in the store; 0 if none is. */
  committedVersion = 0;
  /** The revision of the record in the store; 0 if there is none. The next write replaces just this one. */
  revision: Revision;
  /** The progress at the version that is in the store. */
  committedProgress: JobProgress = { isCancelled: false, doneCount: 0, placedCount: 0 };

  // --- writing ----------------------------------------------------------------------------------

  /** The most urgent reason to write it that came up since it was last taken into a transaction. */
  writePriority: WritePriority = WritePriority.none;
  /** A transaction with its record is under way, or its outcome is being found out. */
  hasWriteInFlight = false;
  /** The write under way makes it cancelled or final: others may already read that in the store. */
  hasTerminalWriteInFlight = false;
  /**
   * A write that makes it cancelled or final was not answered: it may be carried out at any time, until a later
   * write of the record is.
   */
  isTerminalOutcomeUnknown = false;
  /** Its creation was not answered: it must be tried again until the outcome is known. */
  isCreationOutcomeUnknown = false;
  /** Called after each change that is to be written. */
  onChange: (() => void) | undefined;

  // --- when and where its tasks may be placed ---------------------------------------------------

  /** When a task of it was last placed by this leader, or when this leader read that one is; undefined if none was. */
  lastPlacedAt: SteadyMs | undefined;
  /** Machines on which its tasks failed, and until when none is placed there. */
  readonly avoidedMachines = new Map<MachineId, SteadyMs>();
  /** Until then nothing of it is placed, after failures. */
  backoffUntil = 0 as SteadyMs;
  /** How often it was held back. */
  backoffCount = 0;

  /** A job of which all tasks wait. */
  constructor(
    readonly id: JobId,
    readonly spec: JobSpec,
    readonly submittedAt: WallMs,
    revision: Revision,
  ) {
    this.revision = revision;
    this.waitingTasks = IndexRanges.of([[0, spec.taskCount]]);
  }

  /** Its tasks run all at the same time or not at all. */
  get isGang(): boolean {
    return isGang(this.spec);
  }

  get doneCount(): number {
    return this.spec.taskCount - this.waitingTasks.size - this.placements.size;
  }

  /** No task waits or may run, so it can be moved to its final record. */
  get isFinished(): boolean {
    return this.placements.size === 0 && (this.isCancelled || this.waitingTasks.size === 0);
  }

  /** Tasks that are not done below the highest placed one: they decide how large its record is. */
  get openTaskCount(): number {
    const highest = this.waitingTasks.lastRange();
    const behind = highest?.[1] === this.spec.taskCount ? highest[1] - highest[0] : 0;
    return this.placements.size + this.waitingTasks.size - behind;
  }

  isTaskDone(index: number): boolean {
    return (
      index < this.spec.taskCount && !this.waitingTasks.has(index) && !this.placements.has(index)
    );
  }

  /** Begins a new version, which is to be written with this priority at least. */
  markChanged(priority: WritePriority): void {
    this.version++;
    if (priority < this.writePriority) this.writePriority = priority;
    this.onChange?.();
  }

  /** Places waiting tasks in one new version under one new attempt. */
  placeTasks(tasks: readonly { index: number; machine: MachineId }[], now: SteadyMs): void {
    const attempt = this.nextAttempt;
    this.nextAttempt = Attempt(attempt + 1);
    this.markChanged(WritePriority.placement);
    this.lastPlacedAt = now;
    const { version } = this;
    for (const { index, machine } of tasks) {
      if (!this.waitingTasks.remove(index)) throw new Error(`${this.id}/${index} is not waiting`);
      this.placements.set(
        index,
        newPlacement({ machine, attempt, version, isInherited: false, placedAt: now }),
      );
    }
  }

  /** The task is proven to be on no machine: it waits again. */
  requeueTask(index: number): void {
    if (!this.placements.delete(index)) return;
    this.waitingTasks.add(index);
    this.markChanged(this.isCancelled ? WritePriority.jobEnd : WritePriority.progress);
  }

  /** The task is done, wherever it was thought to be. */
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
   * Takes over from `before`, in whose place this job was read from the store: a transaction of ours that we had
   * given up was carried out late. Where both agree on an attempt, what was sent to its machine and reported by
   * it still holds; as an inherited one it would count as absent while its start is on the way. Versions go
   * on from those used, so that no later record can pass for an earlier one of the same epoch.
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

  /** How far it is in memory; users are shown `committedProgress`. */
  progress(): JobProgress {
    return {
      isCancelled: this.isCancelled,
      doneCount: this.doneCount,
      placedCount: this.placements.size,
    };
  }

  /** What remains of it once it is settled. */
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

/** The status of a job with `taskCount` tasks that has got so far. */
export function jobStatusOf(progress: JobProgress, taskCount: number): JobStatus {
  if (progress.isCancelled) return JobStatus.cancelled;
  if (progress.doneCount >= taskCount) return JobStatus.done;
  return progress.placedCount > 0 ? JobStatus.running : JobStatus.pending;
}
