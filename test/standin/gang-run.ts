/**
 * The simulated tasks of one gang, as the protocol describes them: tasks of the same attempt number form a group
 * that starts, saves checkpoints and fails together.
 */
import type { TimeSource } from './clock.js';

/** The size of a gang, its running time and its checkpoints. */
export interface GangProperties {
  readonly taskCount: number;
  readonly runMs: number;
  /** The progress between two periodic checkpoints; 0 if it saves none. */
  readonly checkpointIntervalMs: number;
  /** How long saving a checkpoint takes when the gang is stopped. */
  readonly checkpointMs: number;
}

/** The timeouts that the protocol sets for gangs. */
export interface GangTimeouts {
  /** How long a task waits for all other tasks of its attempt. */
  readonly gatherTimeoutMs: number;
  /** The time within which the tasks of a gang detect that one of them is lost. */
  readonly peerLossTimeoutMs: number;
}

/** Callbacks for what happens to a gang. */
export interface GangEvents {
  onCompleted(): void;
  /** An invariant of gangs was violated. */
  onViolation(detail: string): void;
}

/** A task of a gang on a worker that has fetched the task's image. */
export interface GangMember {
  readonly index: number;
  readonly attempt: number;
  /** Whether its machine hangs. */
  isHung(): boolean;
  /** Called when all tasks of the attempt have joined. */
  startRunning(): void;
  /** Called when the task was stopped with enough time to save a checkpoint. */
  startCheckpoint(): void;
  exit(cause: string, hasSavedCheckpoint?: boolean): void;
}

/** The tasks of one attempt and their common state. */
class GangAttempt {
  readonly members = new Map<number, GangMember>();
  readonly stopped = new Set<GangMember>();
  startedAt: number | undefined;
  stoppedAt: number | undefined;
  hasEnded = false;

  get isRunning(): boolean {
    return this.startedAt !== undefined && !this.hasEnded;
  }

  get hasHungMember(): boolean {
    return [...this.members.values()].some((member) => member.isHung());
  }
}

/** One gang through all its attempts. */
export class GangRun {
  private readonly attempts = new Map<number, GangAttempt>();
  /** The progress that the next attempt resumes from. */
  savedProgressMs = 0;
  private isCompleted = false;
  /** How many attempts have started to run. */
  startCount = 0;

  constructor(
    private readonly time: TimeSource,
    private readonly properties: GangProperties,
    private readonly timeouts: GangTimeouts,
    private readonly events: GangEvents,
  ) {}

  /** Adds a task that has its image to its attempt, and starts the attempt with the last one. */
  join(member: GangMember): void {
    if (this.isCompleted) {
      member.exit('done');
      return;
    }
    const attempt = this.attempts.get(member.attempt) ?? new GangAttempt();
    this.attempts.set(member.attempt, attempt);
    if (attempt.startedAt !== undefined) {
      // Its attempt has already started without it.
      this.time.after(this.timeouts.peerLossTimeoutMs / 2, () => member.exit('peers'));
      return;
    }
    attempt.members.set(member.index, member);
    this.time.after(this.timeouts.gatherTimeoutMs, () => {
      if (attempt.startedAt === undefined && attempt.members.get(member.index) === member) {
        member.exit('incomplete');
      }
    });
    if (attempt.members.size === this.properties.taskCount) this.start(attempt);
  }

  /** Removes a task that was stopped or lost. A running attempt fails with it. */
  leave(member: GangMember): void {
    const attempt = this.attempts.get(member.attempt);
    if (attempt?.members.get(member.index) !== member) return;
    attempt.members.delete(member.index);
    if (attempt.isRunning) this.fail(attempt);
  }

  /** Stops a task with enough time to save. The gang saves once all its tasks are stopped. */
  stop(member: GangMember): void {
    const attempt = this.attempts.get(member.attempt);
    if (!attempt?.isRunning) {
      member.exit('halted');
      return;
    }
    attempt.stopped.add(member);
    member.startCheckpoint();
    if (attempt.stoppedAt === undefined) {
      attempt.stoppedAt = this.time.now;
      this.time.after(this.timeouts.peerLossTimeoutMs, () => {
        if (!attempt.hasEnded) this.fail(attempt);
      });
    }
    if (attempt.stopped.size < this.properties.taskCount) return;
    this.time.after(this.properties.checkpointMs, () => {
      if (attempt.hasEnded) return;
      attempt.hasEnded = true;
      this.savedProgressMs = this.progressOf(attempt);
      for (const otherMember of attempt.members.values()) otherMember.exit('halted', true);
    });
  }

  private start(attempt: GangAttempt): void {
    for (const other of this.attempts.values()) {
      if (other !== attempt && other.isRunning) {
        this.events.onViolation('two attempts run at the same time');
      }
    }
    attempt.startedAt = this.time.now;
    this.startCount++;
    for (const member of attempt.members.values()) member.startRunning();
    this.scheduleHangCheck(attempt);
    this.time.after(this.properties.runMs - this.savedProgressMs, () => {
      if (!attempt.hasEnded && attempt.stoppedAt === undefined) this.complete(attempt);
    });
  }

  /** Fails the attempt when the machine of one of its tasks hangs. */
  private scheduleHangCheck(attempt: GangAttempt): void {
    this.time.after(this.timeouts.peerLossTimeoutMs / 4, () => {
      if (attempt.hasEnded) return;
      if (attempt.hasHungMember) this.fail(attempt);
      else this.scheduleHangCheck(attempt);
    });
  }

  private complete(attempt: GangAttempt): void {
    if (attempt.hasHungMember) return;
    attempt.hasEnded = true;
    this.isCompleted = true;
    this.events.onCompleted();
    for (const member of attempt.members.values()) member.exit('done');
  }

  private fail(attempt: GangAttempt): void {
    attempt.hasEnded = true;
    const { checkpointIntervalMs } = this.properties;
    const progress = this.progressOf(attempt);
    if (checkpointIntervalMs > 0) {
      this.savedProgressMs = Math.floor(progress / checkpointIntervalMs) * checkpointIntervalMs;
    }
    this.time.after(this.timeouts.peerLossTimeoutMs / 2, () => {
      for (const member of attempt.members.values()) {
        member.exit(attempt.stopped.has(member) ? 'halted' : 'peers');
      }
    });
  }

  private progressOf({ startedAt, stoppedAt }: GangAttempt): number {
    return this.savedProgressMs + (stoppedAt ?? this.time.now) - (startedAt ?? this.time.now);
  }
}
