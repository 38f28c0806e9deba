/**
 * Read leases: with each answer to a relayed request, the leader allows the follower to tell it to its user for a limited
 * time. The leader writes no record that contradicts it before the lease has ended or the follower has given it up.
 */
import { JobPhase } from '../ledger/job-phase.js';
import { STORE_READ_TTL } from '../ledger/job-records.js';
import type { UserPeerRequest } from '../peer/messages.js';
import { ExpiringMap } from '../units/expiring-map.js';
import {
  SteadyMs,
  addDuration,
  latest,
  ms,
  upperBoundUnderDrift,
  type DurationMs,
} from '../units/index.js';

/** For how long after it sent a request a follower passes on the response of the leader. */
export const RELAY_TIMEOUTS: Readonly<Record<UserPeerRequest['type'], DurationMs>> = {
  /**
   * A controller that gets no response in time writes the record itself, if none exists. That costs more than a late
   * response, so the timeout allows for a leader under high load.
   */
  submitJob: ms(1500),
  readJob: ms(1200),
  /** The leader confirms a cancellation `STORE_READ_LEASE` after it is in the store. */
  cancelJob: ms(1800),
};

/** A controller on a busy machine needs this long to send an answer after it has checked its age. */
const SEND_TIME = ms(50);

/** The lease on an answer that another controller tells no later than `maxAge` after it was requested. */
const leaseFor = (maxAge: DurationMs): DurationMs => ms(upperBoundUnderDrift(maxAge) + SEND_TIME);

/** The longest read lease. */
export const MAX_READ_LEASE = leaseFor(ms(Math.max(...Object.values(RELAY_TIMEOUTS))));
/** The time for which any controller may tell what it reads in the store. No leader knows who reads there. */
export const STORE_READ_LEASE = leaseFor(STORE_READ_TTL);

const NO_LEASE = SteadyMs(-Infinity);

/** When the leases on the answers about one job end, by the phase that these tell. */
interface JobLeases {
  absentUntil: SteadyMs;
  acceptedUntil: SteadyMs;
}

/** The read leases that this controller has granted. They may outlast its term. */
export class ReadLeases {
  private readonly leases = new ExpiringMap<string, JobLeases>(MAX_READ_LEASE);

  /** Grants a lease on an answer that tells `phase` to a request of this type, which arrived at `receivedAt`. */
  grant(
    job: string,
    phase: JobPhase,
    requestType: UserPeerRequest['type'],
    receivedAt: SteadyMs,
  ): void {
    if (phase === JobPhase.ended) return;
    const until = addDuration(receivedAt, leaseFor(RELAY_TIMEOUTS[requestType]));
    const leases = this.leases.get(job) ?? { absentUntil: NO_LEASE, acceptedUntil: NO_LEASE };
    if (phase === JobPhase.absent) leases.absentUntil = latest(leases.absentUntil, until);
    else leases.acceptedUntil = latest(leases.acceptedUntil, until);
    this.leases.set(job, leases, receivedAt);
  }

  /** When the last lease ends on an answer that tells a phase before `phase`. */
  endBefore(phase: JobPhase, job: string): SteadyMs {
    const leases = this.leases.get(job);
    if (!leases || phase === JobPhase.absent) return NO_LEASE;
    const { absentUntil, acceptedUntil } = leases;
    return phase === JobPhase.accepted ? absentUntil : latest(absentUntil, acceptedUntil);
  }

  /** All followers have given up their leases on answers that tell a phase before `phase`. */
  releaseBefore(phase: JobPhase, job: string): void {
    const leases = this.leases.get(job);
    if (!leases) return;
    if (phase >= JobPhase.accepted) leases.absentUntil = NO_LEASE;
    if (phase >= JobPhase.ended) leases.acceptedUntil = NO_LEASE;
  }
}
