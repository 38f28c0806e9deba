/**
 * Leader election through the leader key in the store. A controller leads while it holds the key; the other
 * controllers watch it. The epoch of a term is the revision of the transaction that wrote the key. The leader's
 * authority, that is its right to act under the epoch, ends before its lease at the store does.
 */
import type { Logger } from 'pino';
import { LEADER_KEY } from '../ledger/store-keys.js';
import type { StoreClient } from '../store/client.js';
import { runInBackground } from '../units/run-in-background.js';
import {
  Epoch,
  Revision,
  addDuration,
  ms,
  lowerBoundUnderDrift,
  durationBetween,
  sleep,
  type Clock,
  type DurationMs,
  type ControllerId,
  type Random,
  type SteadyMs,
} from '../units/index.js';
import { LEADER_KEY_REQUEST_TIMEOUT, LeaderKey, type LeaderKeyState } from './leader-key.js';

/** How much earlier than the store's lease authority ends, in addition to the allowance for clock drift. */
const AUTHORITY_SAFETY_MARGIN = ms(150);
const RETRY_DELAY = ms(300);
const WATCH_TIMEOUT = ms(10_000);
const PROBE_INTERVAL = ms(1000);
/** The store is probed when it has not responded for this long. */
const PROBE_SILENCE_THRESHOLD = ms(2000);
const PROBE_TIMEOUT = ms(1200);

/** Callbacks for the terms of this controller. They are called synchronously. */
export interface ElectionEvents {
  onTermStarted(epoch: Epoch): void;
  onTermEnded(epoch: Epoch): void;
}

/** The leader's lease at the store. */
export interface LeaseTiming {
  readonly duration: DurationMs;
  readonly renewInterval: DurationMs;
}

/** The dependencies of an election on the rest of the controller. */
export interface ElectionDependencies {
  readonly store: StoreClient;
  readonly controllerId: ControllerId;
  /** Distinguishes this process from earlier processes of the same controller. */
  readonly processId: string;
  readonly timing: LeaseTiming;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly events: ElectionEvents;
}

interface HeldLease {
  readonly epoch: Epoch;
  readonly leaseId: number;
  /** When authority ends, by the steady clock; computed from the time at which the renewal was sent. */
  validUntil: SteadyMs;
}

/**
 * Takes part in the election for one controller. Authority may lapse because no renewal succeeded while the term
 * goes on: no other controller can lead as long as the key exists, so the next successful renewal restores authority.
 */
export class Election {
  private readonly leaderKey: LeaderKey;
  private heldLease: HeldLease | undefined;
  private knownLeader: ControllerId | undefined;
  /** The epoch of the leader key that named `knownLeader`, as read by this controller or by a peer. */
  private knownLeaderEpoch = 0;
  private isStopped = false;
  /** Ends the current wait for a change of the leader key. */
  private interruptWatch: (() => void) | undefined;

  constructor(private readonly deps: ElectionDependencies) {
    const { log, controllerId, processId, store } = deps;
    this.leaderKey = new LeaderKey(store, { controllerId, processId }, log);
  }

  /** The epoch under which this controller may act now; undefined if it has no authority. */
  authority(): Epoch | undefined {
    return this.heldLease && this.deps.clock.steady() < this.heldLease.validUntil
      ? this.heldLease.epoch
      : undefined;
  }

  /** The controller that holds the leader key, as far as this controller knows. */
  leader(): ControllerId | undefined {
    return this.heldLease ? this.deps.controllerId : this.knownLeader;
  }

  /** The epoch of the known leader; 0 if none is known. */
  leaderEpoch(): number {
    return this.heldLease?.epoch ?? this.knownLeaderEpoch;
  }

  /**
   * Records a leader that a peer knows. What this controller read itself may be stale, or it may not reach the
   * store. A later epoch proves that this controller's key is gone, so a term whose authority has lapsed ends here.
   * Workers that still send heartbeats to this controller are then redirected at once; otherwise they would try one
   * controller after another until their leases expire.
   */
  recordLeader(leader: ControllerId, epoch: number): void {
    if (epoch <= this.leaderEpoch() || leader === this.deps.controllerId) return;
    this.endTerm('a peer knows a later leader');
    this.knownLeader = leader;
    this.knownLeaderEpoch = epoch;
  }

  /** Ends the term because the store, or a conflicting write, showed that this controller lost the key. */
  onDeposed(epoch: Epoch): void {
    if (this.heldLease?.epoch === epoch)
      this.endTerm('this controller no longer holds the leader key');
  }

  /** Starts the election and the store probes, which run until `stop`. */
  start(): void {
    runInBackground(this.run(), this.deps.log, 'election');
    runInBackground(this.runStoreProbes(), this.deps.log, 'probing the store');
  }

  /** Stops reading the key and renewing the lease. Authority remains until it expires. */
  stop(): void {
    this.isStopped = true;
  }

  /** Renews the lease while this controller leads; otherwise watches the key and acquires it when it is free. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (this.heldLease) await this.renew(this.heldLease);
        else await this.followOrAcquire(await this.leaderKey.read());
      } catch (error) {
        this.deps.log.error({ err: error }, 'election: unexpected error; retrying after a delay');
        await this.delay(RETRY_DELAY);
      }
    }
  }

  private async renew(lease: HeldLease): Promise<void> {
    const { clock, store, timing } = this.deps;
    const sentAt = clock.steady();
    const timeout = ms(Math.min(LEADER_KEY_REQUEST_TIMEOUT, timing.renewInterval));
    const result = await store.renewLease(lease.leaseId, timeout);
    if (this.heldLease !== lease) return;
    switch (result) {
      case 'renewed':
        this.logRestoredAuthority(lease, sentAt);
        lease.validUntil = this.authorityEndsAt(sentAt);
        await this.delay(ms(Math.max(0, sentAt + timing.renewInterval - clock.steady())));
        break;
      case 'gone':
        this.endTerm('the lease of the leader key expired');
        break;
      case 'failed':
        this.logFailedRenewal(lease);
        await this.delayBeforeRetry();
    }
  }

  private logRestoredAuthority({ epoch, validUntil }: HeldLease, sentAt: SteadyMs): void {
    if (sentAt < validUntil) return;
    const lapsedMs = Math.round(durationBetween(validUntil, sentAt));
    this.deps.log.warn({ epoch, lapsedMs }, 'election: authority had lapsed; the lease is renewed');
  }

  private logFailedRenewal({ epoch, validUntil }: HeldLease): void {
    const { clock, log } = this.deps;
    const remainingMs = Math.round(durationBetween(clock.steady(), validUntil));
    log.info({ epoch, remainingMs }, 'election: the lease could not be renewed; retrying');
  }

  private async followOrAcquire(key: LeaderKeyState): Promise<void> {
    switch (key.kind) {
      case 'unreadable':
        return this.delayBeforeRetry();
      case 'absent':
        this.knownLeader = undefined;
        this.deps.store.setRole('leaderless');
        return this.acquire(Revision(0));
      case 'own':
        return this.resume(key.revision);
      case 'predecessor':
        return this.acquire(key.revision);
      case 'other':
        if (key.revision >= this.knownLeaderEpoch) {
          this.knownLeader = key.leaderId;
          this.knownLeaderEpoch = key.revision;
        }
        return this.follow(key.readRevision);
    }
  }

  /**
   * Handles a key that this process wrote by a transaction whose response was lost. The controller leads if the
   * key's lease can still be renewed.
   */
  private async resume(revision: Revision): Promise<void> {
    const { clock, store } = this.deps;
    const leaseId = await this.leaderKey.leaseIdAt(revision);
    const sentAt = clock.steady();
    const isRenewed =
      leaseId !== undefined &&
      (await store.renewLease(leaseId, LEADER_KEY_REQUEST_TIMEOUT)) === 'renewed';
    if (isRenewed) this.startTerm(Epoch(revision), leaseId, this.authorityEndsAt(sentAt));
    else await this.delay(RETRY_DELAY);
  }

  private async acquire(replaced: Revision): Promise<void> {
    const sentAt = this.deps.clock.steady();
    const result = await this.leaderKey.write(replaced, this.deps.timing.duration);
    switch (result.kind) {
      case 'written':
        this.startTerm(Epoch(result.revision), result.leaseId, this.authorityEndsAt(sentAt));
        break;
      case 'conflict':
        break;
      case 'failed':
        await this.delayBeforeRetry();
    }
  }

  /** Waits until the key changes, a probe interrupts the wait, or the watch times out. */
  private async follow(fromRevision: Revision): Promise<void> {
    const { store } = this.deps;
    store.setRole('following');
    // A watch on a dead connection would never report a change, so a probe can interrupt the wait.
    const interrupted = new Promise<'interrupted'>((resolve) => {
      this.interruptWatch = () => resolve('interrupted');
    });
    const change = await Promise.race([
      store.watch(LEADER_KEY, fromRevision, WATCH_TIMEOUT),
      interrupted,
    ]);
    this.interruptWatch = undefined;
    if (change === 'failed' || change === 'stale') await this.delayBeforeRetry();
  }

  private async runStoreProbes(): Promise<void> {
    while (!this.isStopped) {
      await this.probeStore();
      await this.delay(PROBE_INTERVAL);
    }
  }

  /**
   * Checks, in parallel to the watch, whether the store is reachable when it has not responded for
   * `PROBE_SILENCE_THRESHOLD`. If the probe shows that the leader key has changed, the watch is interrupted.
   */
  private async probeStore(): Promise<void> {
    const { clock, store } = this.deps;
    if (
      this.heldLease ||
      durationBetween(store.lastResponseAt, clock.steady()) < PROBE_SILENCE_THRESHOLD
    )
      return;
    const read = await store.get(LEADER_KEY, PROBE_TIMEOUT, { urgent: true });
    const isChanged =
      read.kind === 'absent' || (read.kind === 'found' && read.revision !== this.knownLeaderEpoch);
    if (isChanged) this.interruptWatch?.();
  }

  private startTerm(epoch: Epoch, leaseId: number, validUntil: SteadyMs): void {
    this.heldLease = { epoch, leaseId, validUntil };
    this.knownLeader = this.deps.controllerId;
    this.knownLeaderEpoch = epoch;
    this.deps.store.setRole('leading');
    this.deps.log.info({ epoch }, 'election: acquired the leader key; starting a term');
    this.deps.events.onTermStarted(epoch);
  }

  private endTerm(reason: string): void {
    const lease = this.heldLease;
    if (!lease) return;
    this.heldLease = undefined;
    this.knownLeader = undefined;
    this.deps.store.setRole('leaderless');
    this.deps.log.warn(
      { epoch: lease.epoch, reason },
      'election: lost the leader key; ending the term',
    );
    this.deps.events.onTermEnded(lease.epoch);
  }

  /** When the authority ends that a lease request sent at `sentAt` grants. */
  private authorityEndsAt(sentAt: SteadyMs): SteadyMs {
    return addDuration(
      sentAt,
      ms(lowerBoundUnderDrift(this.deps.timing.duration) - AUTHORITY_SAFETY_MARGIN),
    );
  }

  private delay(time: DurationMs): Promise<void> {
    return sleep(this.deps.clock, time);
  }

  /** Waits for a random time, so that controllers that failed together do not retry together. */
  private delayBeforeRetry(): Promise<void> {
    return this.delay(ms(RETRY_DELAY * (0.5 + this.deps.random())));
  }
}
