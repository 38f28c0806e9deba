import * as z from 'zod';
import type { Logger } from 'pino';
import type { StoreClient } from '../store/client.js';
import { LEADER_KEY } from '../ledger/codec.js';
import type { SteadyMs } from '../units/index.js';
import {
  Epoch,
  NodeId,
  Revision,
  later,
  ms,
  shrunk,
  since,
  sleep,
  type Clock,
  type DurationMs,
  type Random,
} from '../units/index.js';

const Holder = z.object({ node: z.string(), run: z.string() });

/** How much earlier than the store's lease our authority ends, beside the clocks' drift. */
const AUTHORITY_MARGIN = ms(150);
const CALL_TIMEOUT = ms(1500);
const RETRY_PAUSE = ms(300);
const WATCH_TIMEOUT = ms(10_000);
/** The state service is probed after so much silence. */
const PROBE_AFTER_SILENCE = ms(2000);
const PROBE_TIMEOUT = ms(1200);

export interface ElectionEvents {
  onGained(epoch: Epoch): void;
  onLost(epoch: Epoch): void;
}

export interface LeaseTiming {
  readonly duration: DurationMs;
  readonly renewInterval: DurationMs;
}

interface HeldLease {
  readonly epoch: Epoch;
  readonly leaseId: number;
  /** When our authority ends, by the steady clock, counted from when the renewal was sent. */
  validUntil: SteadyMs;
}

/**
 * Holds, or waits for, the leader key. The epoch is the revision of the transaction that wrote it.
 * Authority may lapse (no renewal got through) without the reign being over: nobody else can
 * lead while the key stands, so it goes on with the next renewal.
 */
export class Election {
  private heldLease: HeldLease | undefined;
  private holder: NodeId | undefined;
  /** The stamp of the leader key that named the holder, by our own reading or another node's. */
  private holderEpoch = 0;
  private stopped = false;
  /** Ends the wait for a change of the leader key. */
  private wakeWatch: (() => void) | undefined;

  constructor(
    private readonly store: StoreClient,
    private readonly node: NodeId,
    /** Tells this process from its predecessors on the same node. */
    private readonly processId: string,
    private readonly timing: LeaseTiming,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Logger,
    private readonly events: ElectionEvents,
  ) {}

  /** The epoch under which we may act at this moment. */
  authority(): Epoch | undefined {
    return this.heldLease && this.clock.steady() < this.heldLease.validUntil
      ? this.heldLease.epoch
      : undefined;
  }

  /** Who holds the leader key, as far as we know. */
  leader(): NodeId | undefined {
    return this.heldLease ? this.node : this.holder;
  }

  /** The epoch of the leader that we know of. */
  leaderEpoch(): number {
    return this.heldLease?.epoch ?? this.holderEpoch;
  }

  /**
   * Another node knows of a later leader: our own reading may be stale, or the store be out for us.
   * The later epoch proves that our key is gone, so a reign that only lapsed ends here: workers that
   * stayed with us are sent on at once, instead of trying node after node until their leases run out.
   */
  noteLeader(node: NodeId, epoch: number): void {
    if (epoch <= this.leaderEpoch() || node === this.node) return;
    this.endLeadership('another node knows a later leader');
    this.holder = node;
    this.holderEpoch = epoch;
  }

  stop(): void {
    this.stopped = true;
  }

  /** The store, or a conflicting write, said that the key is no longer ours. */
  noteDeposed(epoch: Epoch): void {
    if (this.heldLease?.epoch === epoch) this.endLeadership('the leader key is not ours');
  }

  private endLeadership(why: string): void {
    const reign = this.heldLease;
    if (!reign) return;
    this.heldLease = undefined;
    this.holder = undefined;
    this.store.setRole('leaderless');
    this.log.warn({ epoch: reign.epoch, why }, 'leadership lost');
    this.events.onLost(reign.epoch);
  }

  private beginLeadership(epoch: Epoch, lease: number, until: SteadyMs): void {
    this.heldLease = { epoch, leaseId: lease, validUntil: until };
    this.holder = this.node;
    this.holderEpoch = epoch;
    this.store.setRole('leading');
    this.log.info({ epoch }, 'leadership gained');
    this.events.onGained(epoch);
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.heldLease) await this.renew(this.heldLease);
        else await this.followOrAcquire();
      } catch (e) {
        this.log.error({ err: e }, 'election step failed');
        await sleep(this.clock, RETRY_PAUSE);
      }
    }
  }

  private async renew(reign: HeldLease): Promise<void> {
    const sent = this.clock.steady();
    const answer = await this.store.renewLease(
      reign.leaseId,
      ms(Math.min(CALL_TIMEOUT, this.timing.renewInterval)),
    );
    if (this.heldLease !== reign) return;
    if (answer === 'renewed') {
      reign.validUntil = this.authorityEnd(sent);
      await sleep(
        this.clock,
        ms(Math.max(0, sent + this.timing.renewInterval - this.clock.steady())),
      );
    } else if (answer === 'gone') this.endLeadership('the lease ran out');
    else await sleep(this.clock, ms(RETRY_PAUSE * (0.5 + this.random())));
  }

  private authorityEnd(sent: SteadyMs): SteadyMs {
    return later(sent, ms(shrunk(this.timing.duration) - AUTHORITY_MARGIN));
  }

  private async followOrAcquire(): Promise<void> {
    // Listed rather than read, since a list says at which revision: the key's own may be older than
    // what the store keeps of its history, and a watch from there would be refused at once, for ever.
    const listed = await this.store.list(LEADER_KEY, CALL_TIMEOUT, { urgent: true });
    if (!listed) {
      await sleep(this.clock, ms(RETRY_PAUSE * (0.5 + this.random())));
      return;
    }
    const read = listed.items.find((i) => i.key === LEADER_KEY);
    if (!read) {
      this.holder = undefined;
      this.store.setRole('leaderless');
      await this.acquire(Revision(0));
      return;
    }
    const holder = Holder.safeParse(read.data);
    if (holder.success && holder.data.node === this.node) {
      if (holder.data.run === this.processId) {
        // A transaction of ours whose answer was lost: the key is ours, if its lease still stands.
        const own = await this.store.get(LEADER_KEY, CALL_TIMEOUT, { urgent: true });
        const lease =
          own.kind === 'found' && own.revision === read.revision ? own.leaseId : undefined;
        const sent = this.clock.steady();
        if (
          lease !== undefined &&
          (await this.store.renewLease(lease, CALL_TIMEOUT)) === 'renewed'
        ) {
          this.beginLeadership(Epoch(read.revision), lease, this.authorityEnd(sent));
        } else await sleep(this.clock, RETRY_PAUSE);
        return;
      }
      // Written by a process of this node that is dead, since we run in its place.
      await this.acquire(read.revision);
      return;
    }
    if (read.revision >= this.holderEpoch) {
      this.holder = holder.success ? NodeId(holder.data.node) : undefined;
      this.holderEpoch = read.revision;
    }
    this.store.setRole('following');
    // A watch on a connection that leads nowhere any more would keep us from noticing a change.
    const nudged = new Promise<'nudged'>((resolve) => (this.wakeWatch = () => resolve('nudged')));
    const change = await Promise.race([
      this.store.watch(LEADER_KEY, listed.revision, WATCH_TIMEOUT),
      nudged,
    ]);
    this.wakeWatch = undefined;
    if (change === 'failed' || change === 'stale')
      await sleep(this.clock, ms(RETRY_PAUSE * (0.5 + this.random())));
  }

  /**
   * Looks whether the state service serves us, beside the watch, when it has not been heard from for
   * a while. What it says of the leader key counts too.
   */
  async probe(): Promise<void> {
    if (this.heldLease || since(this.store.servedAt, this.clock.steady()) < PROBE_AFTER_SILENCE)
      return;
    const read = await this.store.get(LEADER_KEY, PROBE_TIMEOUT, { urgent: true });
    const changed =
      read.kind === 'absent' || (read.kind === 'found' && read.revision !== this.holderEpoch);
    if (changed) this.wakeWatch?.();
  }

  private async acquire(over: Revision): Promise<void> {
    const sent = this.clock.steady();
    const lease = await this.store.createLease(this.timing.duration, CALL_TIMEOUT);
    if (lease === undefined) {
      await sleep(this.clock, ms(RETRY_PAUSE * (0.5 + this.random())));
      return;
    }
    const result = await this.store.transact(
      [{ key: LEADER_KEY, revision: over }],
      [{ put: LEADER_KEY, data: { node: this.node, run: this.processId }, leaseId: lease }],
      CALL_TIMEOUT,
      { urgent: true },
    );
    if (result.kind === 'committed') {
      this.beginLeadership(Epoch(result.revision), lease, this.authorityEnd(sent));
      return;
    }
    // After an unknown outcome the lease must stand: the key may hang on it.
    if (result.kind !== 'unknown') void this.store.revokeLease(lease, CALL_TIMEOUT);
    if (result.kind !== 'conflict')
      await sleep(this.clock, ms(RETRY_PAUSE * (0.5 + this.random())));
  }
}
