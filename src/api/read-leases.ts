/**
 * Read leases: with each answer to a relayed request, the leader allows the follower to tell it to its user for a limited
 * time. Until then the leader tells nobody that the job has come further, unless the follower has given the lease up.
 */
import { STORE_READ_TTL } from '../ledger/job-records.js';
import { ExpiringMap } from '../units/expiring-map.js';
import {
  SteadyMs,
  addDuration,
  latest,
  ms,
  upperBoundUnderDrift,
  type DurationMs,
} from '../units/index.js';
import { JobPhase } from './job-phase.js';
import { RELAY_TIMEOUTS } from './leader-relay.js';

/** A follower on a busy machine needs this long to send an answer after it has checked its age. */
const SEND_TIME = ms(50);

/** The lease on an answer that another controller tells no later than `maxAge` after it was requested. */
const leaseFor = (maxAge: DurationMs): DurationMs => ms(upperBoundUnderDrift(maxAge) + SEND_TIME);

/** The longest read lease. */
export const MAX_READ_LEASE = leaseFor(ms(Math.max(...Object.values(RELAY_TIMEOUTS))));
/** The time for which another controller may tell what it reads in the store. No leader knows who reads there. */
export const STORE_READ_LEASE = leaseFor(STORE_READ_TTL);

/** When the leases on the answers about one job end, by the phase that these tell. */
interface JobLeases {
  absentUntil: SteadyMs;
  acceptedUntil: SteadyMs;
}

const NO_LEASE = SteadyMs(-Infinity);

/** The read leases that this controller has granted. They outlast its term. */
export class ReadLeases {
  private readonly leases = new ExpiringMap<string, JobLeases>(MAX_READ_LEASE);

  /** Grants a lease on an answer that tells `phase`, from `start`, a time after the follower sent its request. */
  grant(job: string, phase: JobPhase, start: SteadyMs, maxAge: DurationMs): void {
    if (phase === JobPhase.ended) return;
    const until = addDuration(start, leaseFor(maxAge));
    const leases = this.leases.get(job) ?? { absentUntil: NO_LEASE, acceptedUntil: NO_LEASE };
    if (phase === JobPhase.absent) leases.absentUntil = latest(leases.absentUntil, until);
    else leases.acceptedUntil = latest(leases.acceptedUntil, until);
    this.leases.set(job, leases, start);
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
