import { JobKind, JobStatus, type JobSpec } from '../wire/index.js';
import {
  Attempt,
  type JobId,
  type MachineId,
  type Revision,
  type SteadyMs,
  type WallMs,
} from '../units/index.js';
import { Ranges } from './ranges.js';

/** Where a task is, or may be. It stays until there is proof that it is gone. */
export interface Placement {
  readonly machine: MachineId;
  readonly attempt: Attempt;
  /** The job's version that made it: its start may leave once that version is committed. */
  readonly version: number;
  /** Made by an earlier leader, which may have sent starts that we know nothing of. */
  readonly inherited: boolean;
  readonly at: SteadyMs;
  /** The report whose answer last carried the start. */
  sent?: { readonly session: number; readonly sequence: number };
  /** A report has shown it. */
  seen: boolean;
  /** Its start, or its stop, has been sent straight to the worker. */
  pushed: boolean;
  stopped: boolean;
  /** To be stopped, with so many seconds to save, so that it can run elsewhere or later. */
  evict?: number;
  /** A report has shown it running, and whether its image was thought to be there: for the log. */
  ran?: boolean;
  hadImage?: boolean;
}

export interface Shown {
  readonly aborted: boolean;
  readonly done: number;
  readonly running: number;
}

/** What remains of a job for good. */
export interface Final {
  readonly status: typeof JobStatus.done | typeof JobStatus.cancelled;
  readonly entries: number;
  readonly done: number;
  readonly desk: string;
  readonly cause: string;
}

/** Whether the tasks of a job run all at the same time or not at all. */
export const isGang = (spec: Pick<JobSpec, 'kind'>): boolean => spec.kind === JobKind.gang;

/** Why a record is to be written, most urgent first. */
export const Press = { intake: 0, place: 1, finish: 2, progress: 3, none: 4 } as const;
export type Press = (typeof Press)[keyof typeof Press];

/** A live job: its tasks are waiting, placed or, if neither, done. */
export class Job {
  aborted = false;
  readonly waiting: Ranges;
  readonly placed = new Map<number, Placement>();
  nextAttempt = Attempt(1);
  /** The zone of a job that must be in one. */
  zone: string | undefined;

  /** Rises with each change in memory; what is committed lags behind. */
  version = 1;
  committed = 0;
  revision: Revision;
  inFlight = false;
  /** The write under way makes it cancelled or final: others may already read that in the store. */
  turning = false;
  /** A write that makes it so got no answer: it may be carried out as long as no later one was. */
  endUnsure = false;
  press: Press = Press.none;
  shown: Shown = { aborted: false, done: 0, running: 0 };
  /** A creation whose outcome is unknown must be tried until it is known. */
  doubtful = false;
  /** Told of every change that is to be written. */
  onTouch: (() => void) | undefined;

  /** When a task of it was last placed, by this leader or as it found the record. */
  lastPlaced: SteadyMs | undefined;

  /** Trouble seen: machines on which its tasks failed, and until when it keeps off them and is held back. */
  readonly faultyOn = new Map<MachineId, SteadyMs>();
  heldUntil = 0 as SteadyMs;
  holds = 0;

  constructor(
    readonly id: JobId,
    readonly spec: JobSpec,
    readonly submitted: WallMs,
    revision: Revision,
    waiting?: Ranges,
  ) {
    this.revision = revision;
    this.waiting = waiting ?? Ranges.of([[0, spec.taskCount]]);
  }

  /** Its tasks run all at the same time or not at all. */
  get isGang(): boolean {
    return isGang(this.spec);
  }

  get doneCount(): number {
    return this.spec.taskCount - this.waiting.size - this.placed.size;
  }

  /** Nothing waits or may run, so it can be moved to its final record. */
  get settled(): boolean {
    return this.placed.size === 0 && (this.aborted || this.waiting.size === 0);
  }

  isDone(index: number): boolean {
    return index < this.spec.taskCount && !this.waiting.has(index) && !this.placed.has(index);
  }

  touch(press: Press): void {
    this.version++;
    if (press < this.press) this.press = press;
    this.onTouch?.();
  }

  /** Places tasks in one new version under one new attempt. */
  place(tasks: readonly { index: number; machine: MachineId }[], now: SteadyMs): void {
    const attempt = this.nextAttempt;
    this.nextAttempt = Attempt(attempt + 1);
    this.touch(Press.place);
    this.lastPlaced = now;
    for (const { index, machine } of tasks) {
      if (!this.waiting.remove(index)) throw new Error(`${this.id}/${index} is not waiting`);
      this.placed.set(index, {
        machine,
        attempt,
        version: this.version,
        inherited: false,
        at: now,
        seen: false,
        pushed: false,
        stopped: false,
      });
    }
  }

  /** Tasks that are not done below the highest placed one: what makes a record grow. */
  get open(): number {
    const tail = this.waiting.last();
    const beyond = tail && tail[1] === this.spec.taskCount ? tail[1] - tail[0] : 0;
    return this.placed.size + this.waiting.size - beyond;
  }

  /** The task is proven to be on no machine: it waits again. */
  unplace(index: number): void {
    if (!this.placed.delete(index)) return;
    this.waiting.add(index);
    this.touch(this.aborted ? Press.finish : Press.progress);
  }

  finish(index: number): void {
    if (!this.placed.delete(index)) this.waiting.remove(index);
    this.touch(this.waiting.size + this.placed.size === 0 ? Press.finish : Press.progress);
  }

  abort(): void {
    if (this.aborted) return;
    this.aborted = true;
    this.touch(Press.intake);
  }

  /**
   * Read from the store in the place of `before`, which went another way: a transaction of ours that was
   * given up was carried out late. Where both agree on an attempt, what we told its machine and saw there
   * still holds; as an inherited one it would count as absent while its start is on the way. Versions go
   * on from those used, so that no later record can pass for an earlier one of the same epoch.
   */
  succeed(before: Job): void {
    this.version = before.version + 1;
    this.committed = this.version;
    this.nextAttempt = Attempt(Math.max(this.nextAttempt, before.nextAttempt));
    for (const [index, p] of this.placed) {
      const own = before.placed.get(index);
      if (own && own.machine === p.machine && own.attempt === p.attempt && !own.inherited) {
        this.placed.set(index, { ...own, version: this.committed });
      }
    }
    this.lastPlaced = before.lastPlaced ?? this.lastPlaced;
    this.heldUntil = before.heldUntil;
    this.holds = before.holds;
    for (const [machine, until] of before.faultyOn) this.faultyOn.set(machine, until);
  }

  final(): Final {
    return {
      status: this.aborted ? JobStatus.cancelled : JobStatus.done,
      entries: this.spec.taskCount,
      done: this.doneCount,
      desk: this.spec.team,
      cause: this.aborted ? 'cancelled by its user' : 'all tasks done',
    };
  }
}

export function statusOf(shown: Shown, entries: number): JobStatus {
  if (shown.aborted) return JobStatus.cancelled;
  if (shown.done >= entries) return JobStatus.done;
  return shown.running > 0 ? JobStatus.running : JobStatus.pending;
}
