/**
 * Holds back an answer that tells a later phase of a job until no controller can tell an earlier one any more: until all
 * followers have given up their read leases, or these have ended.
 */
import type { Peer } from '../peer/peer.js';
import { ExpiringMap } from '../units/expiring-map.js';
import {
  durationBetween,
  latest,
  seconds,
  type Clock,
  type DurationMs,
  type SteadyMs,
} from '../units/index.js';
import type { JobPhase } from './job-phase.js';
import type { PendingAnswers } from './pending-answers.js';
import { STORE_READ_LEASE, type ReadLeases } from './read-leases.js';

/** Longer than a job that is cancelled waits for the end of its tasks, so that its answers pass the gate only once. */
const PASSED_TTL = seconds(60);

/** An answer about a job that is about to be told. */
export interface Confirmation {
  readonly job: string;
  readonly phase: JobPhase;
  /** Until when other controllers may tell an earlier phase, apart from the read leases that this one has granted. */
  readonly earlierUntil: SteadyMs;
  /** After this time the answer is of no use. */
  readonly usefulUntil: SteadyMs;
  /** Whether to ask the peers to give up their leases. */
  readonly asksPeers: boolean;
}

/** The parts of the controller on which the gate depends. */
export interface ConfirmationGateDependencies {
  readonly clock: Clock;
  readonly peers: ReadonlyMap<unknown, Peer>;
  readonly readLeases: ReadLeases;
  readonly pendingAnswers: Pick<PendingAnswers, 'revokeBefore'>;
}

/** Whether an answer may be told. `afterWait`: the job may have come further meanwhile. */
export type GateResult = 'atOnce' | 'afterWait' | 'tooLate';

/** A confirmation that waits; later ones of the same job and phase wait with it. */
interface OpenWait {
  readonly phase: JobPhase;
  readonly passed: Promise<void>;
}

/** Decides when an answer may be told. */
export class ConfirmationGate {
  /** When no earlier answer could be told any more, of jobs that had to wait for it. */
  private readonly passedAt = new ExpiringMap<string, { phase: JobPhase; at: SteadyMs }>(
    PASSED_TTL,
  );
  private readonly waits = new Map<string, OpenWait>();

  constructor(private readonly deps: ConfirmationGateDependencies) {}

  /** Resolves once the answer may be told, or it is known that it may not before it becomes useless. */
  async pass(confirmation: Confirmation): Promise<GateResult> {
    const { job, phase, usefulUntil } = confirmation;
    this.deps.pendingAnswers.revokeBefore(phase, job);
    const passesAt = this.passesAt(confirmation);
    const remaining = durationBetween(this.deps.clock.steady(), passesAt);
    if (remaining <= 0) return 'atOnce';
    if (passesAt > usefulUntil && !this.shouldAskPeers(confirmation, remaining)) return 'tooLate';
    const hasPassed = await this.within(usefulUntil, this.joinWait(confirmation, passesAt));
    return hasPassed ? 'afterWait' : 'tooLate';
  }

  /** When the answer may be told, unless the peers give up their leases before. */
  private passesAt({ job, phase, earlierUntil }: Confirmation): SteadyMs {
    const passed = this.passedAt.get(job);
    if (passed && passed.phase >= phase) return passed.at;
    const until = latest(earlierUntil, this.deps.readLeases.endBefore(phase, job));
    const now = this.deps.clock.steady();
    if (until > now) this.passedAt.set(job, { phase, at: until }, now);
    return until;
  }

  private joinWait(confirmation: Confirmation, until: SteadyMs): Promise<void> {
    const { job, phase } = confirmation;
    const open = this.waits.get(job);
    if (open && open.phase >= phase) return open.passed;
    const wait: OpenWait = {
      phase,
      passed: this.wait(confirmation, until).finally(() => {
        if (this.waits.get(job) === wait) this.waits.delete(job);
      }),
    };
    this.waits.set(job, wait);
    return wait.passed;
  }

  /** Resolves when the leases have ended or have been given up. */
  private wait(confirmation: Confirmation, until: SteadyMs): Promise<void> {
    const { clock } = this.deps;
    const remaining = durationBetween(clock.steady(), until);
    return new Promise((resolve) => {
      const timer = clock.after(remaining, resolve);
      if (!this.shouldAskPeers(confirmation, remaining)) return;
      void this.askPeers(confirmation, remaining).then((haveGivenUp) => {
        if (!haveGivenUp) return;
        timer.cancel();
        resolve();
      });
    });
  }

  /**
   * A short wait is not worth a message to each peer. All of them have to give up their leases, so that asking is of no use
   * if one would not respond.
   */
  private shouldAskPeers({ asksPeers }: Confirmation, remaining: DurationMs): boolean {
    if (!asksPeers || remaining <= STORE_READ_LEASE) return false;
    return [...this.deps.peers.values()].every(({ isResponsive }) => isResponsive);
  }

  private async askPeers({ job, phase }: Confirmation, timeout: DurationMs): Promise<boolean> {
    const { clock, peers, readLeases } = this.deps;
    const responses = await Promise.all(
      [...peers.values()].map((peer) => peer.sendRequest({ type: 'jobNotice', job }, timeout)),
    );
    if (!responses.every((response) => response?.type === 'acknowledged' && response.ok))
      return false;
    const now = clock.steady();
    readLeases.releaseBefore(phase, job);
    this.passedAt.set(job, { phase, at: now }, now);
    return true;
  }

  /** Resolves to true with `passed`, to false at `deadline` if that comes first. */
  private within(deadline: SteadyMs, passed: Promise<void>): Promise<boolean> {
    const { clock } = this.deps;
    return new Promise((resolve) => {
      const timer = clock.after(durationBetween(clock.steady(), deadline), () => resolve(false));
      void passed.then(() => {
        timer.cancel();
        resolve(true);
      });
    });
  }
}
