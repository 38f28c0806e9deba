import { JobKind, JobStatus, type JobSpec } from '../wire/index.js';
import {
  Attempt,
  type JobId,
  type MachineId,
  type Revision,
  type SteadyMs,
  type WallMs,
} from '../units/index.js';
import { IndexRanges } from './index-ranges.js';

/** Where a task is, or may be. It stays until there is proof that it is gone. */
export interface Placement {
  readonly machine: MachineId;
  readonly attempt: Attempt;
  /** The job's version that made it: its start may leave once that version is committed. */
  readonly version: number;
  /** Made by an earlier leader, which may have sent starts that we know nothing of. */
  readonly inherited: boolean;
  readonly placedAt: SteadyMs;
  /** The report whose answer last carried the start. */
  sentInReplyTo?: { readonly session: number; readonly sequence: number };
  /** A report has shown it. */
  isReported: boolean;
  /** Its start, or its stop, has been sent straight to the worker. */
  startPushed: boolean;
  stopPushed: boolean;
  /** To be stopped, with so many seconds to save, so that it can run elsewhere or later. */
  evictionGraceSeconds?: number;
  /** A report has shown it running, and whether its image was thought to be there: for the log. */
  hasRun?: boolean;
  imageWasCached?: boolean;
}

export interface CommittedProgress {
  readonly cancelled: boolean;
  readonly done: number;
  readonly running: number;
}

/** What remains of a job for good. */
export interface FinalState {
  readonly status: typeof JobStatus.done | typeof JobStatus.cancelled;
  readonly taskCount: number;
  readonly done: number;
  readonly team: string;
  readonly reason: string;
}

/** Whether the tasks of a job run all at the same time or not at all. */
export const isGang = (spec: Pick<JobSpec, 'kind'>): boolean => spec.kind === JobKind.gang;

/** Why a record is to be written, most urgent first. */
export const WritePriority = {
  admission: 0,
  placement: 1,
  completion: 2,
  progress: 3,
  none: 4,
} as const;
export type WritePriority = (typeof WritePriority)[keyof typeof WritePriority];

/** A live job: its tasks are waiting, placed or, if neither, done. */
export class Job {
  cancelled = false;
  readonly waiting: IndexRanges;
  readonly placements = new Map<number, Placement>();
  nextAttempt = Attempt(1);
  /** The zone of a job that must be in one. */
  boundZone: string | undefined;

  /** Rises with each change in memory; what is committed lags behind. */
  version = 1;
  committedVersion = 0;
  revision: Revision;
  writeInFlight = false;
  /** The write under way makes it cancelled or final: others may already read that in the store. */
  terminalWriteInFlight = false;
  /** A write that makes it so got no answer: it may be carried out as long as no later one was. */
  terminalOutcomeUnknown = false;
  writePriority: WritePriority = WritePriority.none;
  committedProgress: CommittedProgress = { cancelled: false, done: 0, running: 0 };
  /** A creation whose outcome is unknown must be tried until it is known. */
  creationOutcomeUnknown = false;
  /** Told of every change that is to be written. */
  onChange: (() => void) | undefined;

  /** When a task of it was last placed, by this leader or as it found the record. */
  lastPlacedAt: SteadyMs | undefined;

  /** Trouble seen: machines on which its tasks failed, and until when it keeps off them and is held back. */
  readonly avoidedMachines = new Map<MachineId, SteadyMs>();
  heldBackUntil = 0 as SteadyMs;
  holdCount = 0;

  constructor(
    readonly id: JobId,
    readonly spec: JobSpec,
    readonly submittedAt: WallMs,
    revision: Revision,
    waiting?: IndexRanges,
  ) {
    this.revision = revision;
    this.waiting = waiting ?? IndexRanges.of([[0, spec.taskCount]]);
  }

  /** Its tasks run all at the same time or not at all. */
  get isGang(): boolean {
    return isGang(this.spec);
  }

  get doneCount(): number {
    return this.spec.taskCount - this.waiting.size - this.placements.size;
  }

  /** Nothing waits or may run, so it can be moved to its final record. */
  get isSettled(): boolean {
    return this.placements.size === 0 && (this.cancelled || this.waiting.size === 0);
  }

  isDone(index: number): boolean {
    return index < this.spec.taskCount && !this.waiting.has(index) && !this.placements.has(index);
  }

  markChanged(press: WritePriority): void {
    this.version++;
    if (press < this.writePriority) this.writePriority = press;
    this.onChange?.();
  }

  /** Places tasks in one new version under one new attempt. */
  placeTasks(tasks: readonly { index: number; machine: MachineId }[], now: SteadyMs): void {
    const attempt = this.nextAttempt;
    this.nextAttempt = Attempt(attempt + 1);
    this.markChanged(WritePriority.placement);
    this.lastPlacedAt = now;
    for (const { index, machine } of tasks) {
      if (!this.waiting.remove(index)) throw new Error(`${this.id}/${index} is not waiting`);
      this.placements.set(index, {
        machine,
        attempt,
        version: this.version,
        inherited: false,
        placedAt: now,
        isReported: false,
        startPushed: false,
        stopPushed: false,
      });
    }
  }

  /** Tasks that are not done below the highest placed one: what makes a record grow. */
  get openTaskCount(): number {
    const tail = this.waiting.last();
    const beyond = tail && tail[1] === this.spec.taskCount ? tail[1] - tail[0] : 0;
    return this.placements.size + this.waiting.size - beyond;
  }

  /** The task is proven to be on no machine: it waits again. */
  requeue(index: number): void {
    if (!this.placements.delete(index)) return;
    this.waiting.add(index);
    this.markChanged(this.cancelled ? WritePriority.completion : WritePriority.progress);
  }

  complete(index: number): void {
    if (!this.placements.delete(index)) this.waiting.remove(index);
    this.markChanged(
      this.waiting.size + this.placements.size === 0
        ? WritePriority.completion
        : WritePriority.progress,
    );
  }

  cancel(): void {
    if (this.cancelled) return;
    this.cancelled = true;
    this.markChanged(WritePriority.admission);
  }

  /**
   * Read from the store in the place of `before`, which went another way: a transaction of ours that was
   * given up was carried out late. Where both agree on an attempt, what we told its machine and saw there
   * still holds; as an inherited one it would count as absent while its start is on the way. Versions go
   * on from those used, so that no later record can pass for an earlier one of the same epoch.
   */
  inheritFrom(before: Job): void {
    this.version = before.version + 1;
    this.committedVersion = this.version;
    this.nextAttempt = Attempt(Math.max(this.nextAttempt, before.nextAttempt));
    for (const [index, p] of this.placements) {
      const own = before.placements.get(index);
      if (own && own.machine === p.machine && own.attempt === p.attempt && !own.inherited) {
        this.placements.set(index, { ...own, version: this.committedVersion });
      }
    }
    this.lastPlacedAt = before.lastPlacedAt ?? this.lastPlacedAt;
    this.heldBackUntil = before.heldBackUntil;
    this.holdCount = before.holdCount;
    for (const [machine, until] of before.avoidedMachines) this.avoidedMachines.set(machine, until);
  }

  finalState(): FinalState {
    return {
      status: this.cancelled ? JobStatus.cancelled : JobStatus.done,
      taskCount: this.spec.taskCount,
      done: this.doneCount,
      team: this.spec.team,
      reason: this.cancelled ? 'cancelled by its user' : 'all tasks done',
    };
  }
}

export function statusOf(shown: CommittedProgress, entries: number): JobStatus {
  if (shown.cancelled) return JobStatus.cancelled;
  if (shown.done >= entries) return JobStatus.done;
  return shown.running > 0 ? JobStatus.running : JobStatus.pending;
}
