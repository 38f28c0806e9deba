/** The workers' side of one gang, from the protocol: its tasks find each other by the number of their attempt. */
import type { TimeSource } from './clock.js';

/** What a gang needs, and how long it takes. */
export interface GangProperties {
  readonly taskCount: number;
  readonly runMs: number;
  /** How much progress lies between two checkpoints; 0: it never saves by itself. */
  readonly checkpointIntervalMs: number;
  /** How long it takes to save when it is stopped. */
  readonly checkpointMs: number;
}

/** The times of the protocol for gangs. */
export interface GangTimeouts {
  /** A task waits for so long until all others of its attempt are there. */
  readonly gatherTimeoutMs: number;
  /** The tasks of a gang notice within so long that one of them is gone. */
  readonly peerLossTimeoutMs: number;
}

/** What is to be known of a gang outside. */
export interface GangEvents {
  onCompleted(): void;
  /** Something happened that must not. */
  onViolation(detail: string): void;
}

/** A task of a gang on a worker, from when it has its image. */
export interface GangMember {
  readonly index: number;
  readonly attempt: number;
  /** Whether its machine hangs. */
  isHung(): boolean;
  /** All tasks are there: it runs. */
  startRunning(): void;
  /** It was stopped, and the gang writes a checkpoint. */
  startCheckpoint(): void;
  exit(cause: string, hasSavedCheckpoint?: boolean): void;
}

/** The tasks of one attempt, and what they do together. */
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

/** One gang from its first task to its end. */
export class GangRun {
  private readonly attempts = new Map<number, GangAttempt>();
  /** Progress in milliseconds that the next attempt goes on from. */
  savedProgressMs = 0;
  private isCompleted = false;
  /** How often all tasks began to run. */
  startCount = 0;

  constructor(
    private readonly time: TimeSource,
    private readonly properties: GangProperties,
    private readonly timeouts: GangTimeouts,
    private readonly events: GangEvents,
  ) {}

  /** A task has its image and is there. */
  join(member: GangMember): void {
    if (this.isCompleted) {
      member.exit('done');
      return;
    }
    const attempt = this.attempts.get(member.attempt) ?? new GangAttempt();
    this.attempts.set(member.attempt, attempt);
    if (attempt.startedAt !== undefined) {
      // Its attempt has begun, and ended, without it.
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

  /** A task was stopped or has vanished, or its machine has. */
  leave(member: GangMember): void {
    const attempt = this.attempts.get(member.attempt);
    if (attempt?.members.get(member.index) !== member) return;
    attempt.members.delete(member.index);
    if (attempt.isRunning) this.fail(attempt);
  }

  /** A task is stopped with enough time to save. The gang saves once all of its tasks are. */
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
      for (const other of attempt.members.values()) other.exit('halted', true);
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

  /** The others notice when the machine of one hangs. */
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
