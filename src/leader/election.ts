/**
 * Leader election: holds, or waits for, the leader key. The epoch is the revision of the transaction that
 * wrote the key. Authority ends before the store's lease does.
 */
import type { Logger } from 'pino';
import { LEADER_KEY } from '../ledger/store-keys.js';
import type { StoreClient } from '../store/client.js';
import { detach } from '../units/detach.js';
import {
  Epoch,
  Revision,
  later,
  ms,
  lowerBoundUnderDrift,
  durationBetween,
  sleep,
  type Clock,
  type DurationMs,
  type NodeId,
  type Random,
  type SteadyMs,
} from '../units/index.js';
import { LEADER_KEY_REQUEST_TIMEOUT, LeaderKey, type LeaderKeyState } from './leader-key.js';

/** How much earlier than the store's lease our authority ends, beside the clocks' drift. */
const AUTHORITY_SAFETY_MARGIN = ms(150);
const RETRY_DELAY = ms(300);
const WATCH_TIMEOUT = ms(10_000);
const PROBE_INTERVAL = ms(1000);
/** The state service is probed after so much silence. */
const PROBE_SILENCE_THRESHOLD = ms(2000);
const PROBE_TIMEOUT = ms(1200);

/** What the node does when leadership changes. Called synchronously. */
export interface ElectionEvents {
  onTermStarted(epoch: Epoch): void;
  onTermEnded(epoch: Epoch): void;
}

/** The leader's lease at the store. */
export interface LeaseTiming {
  readonly duration: DurationMs;
  readonly renewInterval: DurationMs;
}

/** What an election needs of the rest of the node. */
export interface ElectionDependencies {
  readonly store: StoreClient;
  /** This node. */
  readonly controllerId: NodeId;
  /** Tells this process from its predecessors on the same node. */
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
  /** When our authority ends, by the steady clock, counted from when the renewal was sent. */
  validUntil: SteadyMs;
}

/**
 * Authority may lapse (no renewal got through) without leadership being over: no other node can lead while
 * the key stands, so it goes on with the next renewal.
 */
export class Election {
  private readonly leaderKey: LeaderKey;
  private heldLease: HeldLease | undefined;
  private knownLeader: NodeId | undefined;
  /** The epoch of the leader key that named the holder, by our own reading or another node's. */
  private knownLeaderEpoch = 0;
  private isStopped = false;
  /** Ends the wait for a change of the leader key. */
  private interruptWatch: (() => void) | undefined;

  constructor(private readonly deps: ElectionDependencies) {
    const { log, controllerId, processId, store } = deps;
    this.leaderKey = new LeaderKey(store, { controllerId, processId }, log);
  }

  /** The epoch under which we may act at this moment. */
  authority(): Epoch | undefined {
    return this.heldLease && this.deps.clock.steady() < this.heldLease.validUntil
      ? this.heldLease.epoch
      : undefined;
  }

  /** Who holds the leader key, as far as we know. */
  leader(): NodeId | undefined {
    return this.heldLease ? this.deps.controllerId : this.knownLeader;
  }

  /** The epoch of the leader that we know of; 0 if we know of none. */
  leaderEpoch(): number {
    return this.heldLease?.epoch ?? this.knownLeaderEpoch;
  }

  /**
   * Another node knows of a later leader: our own reading may be stale, or the store be out for us.
   * The later epoch proves that our key is gone, so leadership that only lapsed ends here: workers that
   * stayed with us are sent on at once, instead of trying node after node until their leases run out.
   */
  recordLeader(leader: NodeId, epoch: number): void {
    if (epoch <= this.leaderEpoch() || leader === this.deps.controllerId) return;
    this.endTerm('another node knows a later leader');
    this.knownLeader = leader;
    this.knownLeaderEpoch = epoch;
  }

  /** The store, or a conflicting write, said that the key is no longer ours. */
  onDeposed(epoch: Epoch): void {
    if (this.heldLease?.epoch === epoch) this.endTerm('the leader key is not ours');
  }

  /** Runs until `stop`. */
  start(): void {
    detach(this.run(), this.deps.log, 'election');
    detach(this.runStoreProbes(), this.deps.log, 'probing the state service');
  }

  /** Nothing more is asked or renewed; authority lasts until its time. */
  stop(): void {
    this.isStopped = true;
  }

  /** Renews the lease that is held, or follows the leader and acquires the key when it is free. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (this.heldLease) await this.renew(this.heldLease);
        else await this.followOrAcquire(await this.leaderKey.read());
      } catch (error) {
        this.deps.log.error({ err: error }, 'election step failed');
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
        lease.validUntil = this.authorityEndsAt(sentAt);
        await this.delay(ms(Math.max(0, sentAt + timing.renewInterval - clock.steady())));
        break;
      case 'gone':
        this.endTerm('the lease ran out');
        break;
      case 'failed':
        await this.delayBeforeRetry();
    }
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

  /** The key is ours by a transaction whose answer was lost: we lead if its lease still stands. */
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

  /** Waits for a change of the key. */
  private async follow(fromRevision: Revision): Promise<void> {
    const { store } = this.deps;
    store.setRole('following');
    // A watch on a connection that leads nowhere any more would keep us from noticing a change.
    const woken = new Promise<'woken'>((resolve) => {
      this.interruptWatch = () => resolve('woken');
    });
    const change = await Promise.race([
      store.watch(LEADER_KEY, fromRevision, WATCH_TIMEOUT),
      woken,
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
   * Looks whether the state service serves us, beside the watch, when it has not answered for a while.
   * What it says of the leader key counts too.
   */
  private async probeStore(): Promise<void> {
    const { clock, store } = this.deps;
    if (this.heldLease || durationBetween(store.servedAt, clock.steady()) < PROBE_SILENCE_THRESHOLD)
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
    this.deps.log.info({ epoch }, 'leadership gained');
    this.deps.events.onTermStarted(epoch);
  }

  private endTerm(reason: string): void {
    const lease = this.heldLease;
    if (!lease) return;
    this.heldLease = undefined;
    this.knownLeader = undefined;
    this.deps.store.setRole('leaderless');
    this.deps.log.warn({ epoch: lease.epoch, reason }, 'leadership lost');
    this.deps.events.onTermEnded(lease.epoch);
  }

  /** When authority ends that rests on a lease call sent at that time. */
  private authorityEndsAt(sentAt: SteadyMs): SteadyMs {
    return later(
      sentAt,
      ms(lowerBoundUnderDrift(this.deps.timing.duration) - AUTHORITY_SAFETY_MARGIN),
    );
  }

  private delay(time: DurationMs): Promise<void> {
    return sleep(this.deps.clock, time);
  }

  /** So drawn that nodes that failed together do not try again together. */
  private delayBeforeRetry(): Promise<void> {
    return this.delay(ms(RETRY_DELAY * (0.5 + this.deps.random())));
  }
}
