/** Holds back records that tell a later phase of their job while followers have read leases on earlier answers. */
import type { Logger } from 'pino';
import { JobPhase, nextPhaseOf, storedPhaseOf } from '../ledger/job-phase.js';
import { WritePriority, type Job } from '../ledger/job.js';
import type { WriteHold } from '../ledger/write-hold.js';
import type { PeerResponse } from '../peer/messages.js';
import type { Peer } from '../peer/peer.js';
import { ExpiringMap } from '../units/expiring-map.js';
import {
  addDuration,
  durationBetween,
  latest,
  ms,
  type Clock,
  type DurationMs,
  type JobId,
  type SteadyMs,
} from '../units/index.js';
import { runInBackground } from '../units/run-in-background.js';
import { MAX_READ_LEASE, type ReadLeases } from './read-leases.js';

const NO_HOLD = ms(0);

const isAcknowledged = (response: PeerResponse | undefined): boolean =>
  response?.type === 'acknowledged' && response.ok;

/** The dependencies of the hold on the rest of the term. */
export interface ReadLeaseHoldDependencies {
  readonly readLeases: ReadLeases;
  readonly peers: ReadonlyMap<unknown, Peer>;
  readonly clock: Clock;
  readonly log: Logger;
}

/** The peers have been asked to give up the leases on answers that tell a phase before `phase`, which end at `leasesEnd`. */
interface Revocation {
  readonly phase: JobPhase;
  readonly leasesEnd: SteadyMs;
}

/** The hold of one term. The leases of earlier leaders are not known, but no longer than `MAX_READ_LEASE`. */
export class ReadLeaseHold implements WriteHold {
  /** Called when peers have given up their leases, so that a record can be written. */
  onReleased: (() => void) | undefined;
  private readonly earlierLeasesEnd: SteadyMs;
  /** The jobs whose leases the peers have been asked to give up. */
  private readonly revocations = new ExpiringMap<JobId, Revocation>(MAX_READ_LEASE);

  constructor(private readonly deps: ReadLeaseHoldDependencies) {
    this.earlierLeasesEnd = addDuration(deps.clock.steady(), MAX_READ_LEASE);
  }

  holdBack(job: Job): DurationMs {
    const phase = nextPhaseOf(job);
    if (phase <= storedPhaseOf(job)) return NO_HOLD;
    const { clock, readLeases } = this.deps;
    const leasesEnd = readLeases.endBefore(phase, job.id);
    const isEnd = phase === JobPhase.ended;
    const heldUntil = isEnd ? latest(leasesEnd, this.earlierLeasesEnd) : leasesEnd;
    const remaining = durationBetween(clock.steady(), heldUntil);
    if (remaining <= 0) return NO_HOLD;
    if (isEnd) job.hasTerminalWriteInFlight = true;
    // A user waits for the record. Others can wait for the end of the leases, which costs no messages.
    if (job.writePriority === WritePriority.userRequest && heldUntil === leasesEnd)
      this.revokeLeases(job.id, { phase, leasesEnd });
    return remaining;
  }

  /** Asks the peers once to give up their leases. All have to: if one would not respond, none is asked. */
  private revokeLeases(job: JobId, revocation: Revocation): void {
    const { clock, log } = this.deps;
    const peers = [...this.deps.peers.values()];
    const asked = this.revocations.get(job);
    const isAsked = asked?.phase === revocation.phase && asked.leasesEnd >= revocation.leasesEnd;
    if (isAsked || !peers.every(({ isResponsive }) => isResponsive)) return;
    const now = clock.steady();
    this.revocations.set(job, revocation, now);
    const timeout = durationBetween(now, revocation.leasesEnd);
    const responses = peers.map((peer) => peer.sendRequest({ type: 'jobNotice', job }, timeout));
    const revoked = Promise.all(responses).then((received) => {
      if (received.every(isAcknowledged)) this.release(job, revocation);
    });
    runInBackground(revoked, log, 'asking peers to give up their read leases');
  }

  private release(job: JobId, { phase }: Revocation): void {
    this.deps.readLeases.releaseBefore(phase, job);
    this.onReleased?.();
  }
}
