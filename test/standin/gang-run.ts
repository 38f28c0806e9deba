import { ms } from '../../src/units/index.js';
import type { VirtualTime } from './clock.js';

export interface GangFacts {
  readonly entries: number;
  readonly runMs: number;
  readonly saveEveryMs: number;
  readonly saveMs: number;
}

/** A task of a gang on a worker, from when it has its image. */
export interface Member {
  readonly index: number;
  readonly attempt: number;
  isHung(): boolean;
  /** All tasks are there: it runs. */
  run(): void;
  saving(): void;
  exit(cause: string, kept?: boolean): void;
}

/** The tasks of one attempt, and what they do together. */
class Attempt {
  readonly members = new Map<number, Member>();
  readonly told = new Set<Member>();
  startedAt: number | undefined;
  stoppedAt: number | undefined;
  over = false;
}

/** The workers' side of one gang, as the protocol has it: its tasks find each other by attempt number. */
export class GangRun {
  private readonly attempts = new Map<number, Attempt>();
  /** Progress that the next attempt goes on from. */
  saved = 0;
  isDone = false;
  /** How often all tasks began to run. */
  starts = 0;

  constructor(
    private readonly time: VirtualTime,
    private readonly facts: GangFacts,
    private readonly times: { readonly waitMs: number; readonly peerMs: number },
    private readonly events: { completed(): void; broken(what: string): void },
  ) {}

  join(member: Member): void {
    if (this.isDone) {
      member.exit('done');
      return;
    }
    const attempt = this.attempts.get(member.attempt) ?? new Attempt();
    this.attempts.set(member.attempt, attempt);
    if (attempt.startedAt !== undefined) {
      // Its attempt has begun, and ended, without it.
      this.after(this.times.peerMs / 2, () => member.exit('peers'));
      return;
    }
    attempt.members.set(member.index, member);
    this.after(this.times.waitMs, () => {
      if (attempt.startedAt === undefined && attempt.members.get(member.index) === member) {
        member.exit('incomplete');
      }
    });
    if (attempt.members.size === this.facts.entries) this.start(attempt);
  }

  /** It was stopped or vanished, or its machine did. */
  leave(member: Member): void {
    const attempt = this.attempts.get(member.attempt);
    if (attempt?.members.get(member.index) !== member) return;
    attempt.members.delete(member.index);
    if (attempt.startedAt !== undefined && !attempt.over) this.fail(attempt);
  }

  /** A stop with enough time to save. */
  stop(member: Member): void {
    const attempt = this.attempts.get(member.attempt);
    if (attempt?.startedAt === undefined || attempt.over) {
      member.exit('halted');
      return;
    }
    attempt.told.add(member);
    member.saving();
    if (attempt.stoppedAt === undefined) {
      attempt.stoppedAt = this.time.now;
      this.after(this.times.peerMs, () => {
        if (!attempt.over) this.fail(attempt);
      });
    }
    if (attempt.told.size < this.facts.entries) return;
    this.after(this.facts.saveMs, () => {
      if (attempt.over) return;
      attempt.over = true;
      this.saved = this.progressOf(attempt);
      for (const m of attempt.members.values()) m.exit('halted', true);
    });
  }

  private start(attempt: Attempt): void {
    for (const other of this.attempts.values()) {
      if (other !== attempt && other.startedAt !== undefined && !other.over) {
        this.events.broken('two attempts run at the same time');
      }
    }
    attempt.startedAt = this.time.now;
    this.starts++;
    for (const m of attempt.members.values()) m.run();
    this.watch(attempt);
    this.after(this.facts.runMs - this.saved, () => {
      if (!attempt.over && attempt.stoppedAt === undefined) this.complete(attempt);
    });
  }

  /** The others notice when the machine of one hangs. */
  private watch(attempt: Attempt): void {
    this.after(this.times.peerMs / 4, () => {
      if (attempt.over) return;
      if ([...attempt.members.values()].some((m) => m.isHung())) this.fail(attempt);
      else this.watch(attempt);
    });
  }

  private complete(attempt: Attempt): void {
    if ([...attempt.members.values()].some((m) => m.isHung())) return;
    attempt.over = true;
    this.isDone = true;
    this.events.completed();
    for (const m of attempt.members.values()) m.exit('done');
  }

  private fail(attempt: Attempt): void {
    attempt.over = true;
    const { saveEveryMs } = this.facts;
    const progress = this.progressOf(attempt);
    if (saveEveryMs > 0) this.saved = Math.floor(progress / saveEveryMs) * saveEveryMs;
    this.after(this.times.peerMs / 2, () => {
      for (const m of attempt.members.values()) m.exit(attempt.told.has(m) ? 'halted' : 'peers');
    });
  }

  private progressOf({ startedAt, stoppedAt }: Attempt): number {
    return this.saved + (stoppedAt ?? this.time.now) - (startedAt ?? this.time.now);
  }

  private after(delay: number, run: () => void): void {
    this.time.after(ms(delay), run);
  }
}
