import * as z from 'zod';
import type { Logger } from 'pino';
import type { StoreClient } from '../store/client.js';
import { LEADER_KEY } from '../ledger/ledger.js';
import type { SteadyMs } from '../units/index.js';
import {
  Epoch,
  NodeId,
  Revision,
  later,
  ms,
  shrunk,
  sleep,
  type Clock,
  type DurationMs,
  type Random,
} from '../units/index.js';

const Holder = z.object({ node: z.string(), run: z.string() });

/** How much earlier than the store's lease our authority ends, beside the clocks' drift. */
const GUARD = ms(150);
const CALL_TIMEOUT = ms(1500);
const RETRY = ms(300);
const WATCH = ms(10_000);

export interface ElectionEvents {
  gained(epoch: Epoch): void;
  lost(epoch: Epoch): void;
}

export interface Terms {
  readonly lease: DurationMs;
  readonly renew: DurationMs;
}

interface Reign {
  readonly epoch: Epoch;
  readonly lease: number;
  /** When our authority ends, by the steady clock, counted from when the renewal was sent. */
  until: SteadyMs;
}

/**
 * Holds, or waits for, the leader key. The epoch is the revision of the transaction that wrote it.
 * Authority may lapse (no renewal got through) without the reign being over: nobody else can
 * lead while the key stands, so it goes on with the next renewal.
 */
export class Election {
  private reign: Reign | undefined;
  private holder: NodeId | undefined;
  private stopped = false;

  constructor(
    private readonly store: StoreClient,
    private readonly node: NodeId,
    /** Tells this process from its predecessors on the same node. */
    private readonly run: string,
    private readonly terms: Terms,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Logger,
    private readonly events: ElectionEvents,
  ) {}

  /** The epoch under which we may act at this moment. */
  authority(): Epoch | undefined {
    return this.reign && this.clock.steady() < this.reign.until ? this.reign.epoch : undefined;
  }

  /** Who holds the leader key, as far as we know. */
  leader(): NodeId | undefined {
    return this.reign ? this.node : this.holder;
  }

  stop(): void {
    this.stopped = true;
  }

  /** The store, or a conflicting write, said that the key is no longer ours. */
  deposed(epoch: Epoch): void {
    if (this.reign?.epoch === epoch) this.end('the leader key is not ours');
  }

  private end(why: string): void {
    const reign = this.reign;
    if (!reign) return;
    this.reign = undefined;
    this.holder = undefined;
    this.store.setRole('leaderless');
    this.log.warn({ epoch: reign.epoch, why }, 'leadership lost');
    this.events.lost(reign.epoch);
  }

  private begin(epoch: Epoch, lease: number, until: SteadyMs): void {
    this.reign = { epoch, lease, until };
    this.holder = this.node;
    this.store.setRole('leading');
    this.log.info({ epoch }, 'leadership gained');
    this.events.gained(epoch);
  }

  async serve(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.reign) await this.keep(this.reign);
        else await this.seek();
      } catch (e) {
        this.log.error({ err: e }, 'election step failed');
        await sleep(this.clock, RETRY);
      }
    }
  }

  private async keep(reign: Reign): Promise<void> {
    const sent = this.clock.steady();
    const answer = await this.store.touchLease(
      reign.lease,
      ms(Math.min(CALL_TIMEOUT, this.terms.renew)),
    );
    if (this.reign !== reign) return;
    if (answer === 'renewed') {
      reign.until = this.horizon(sent);
      await sleep(this.clock, ms(Math.max(0, sent + this.terms.renew - this.clock.steady())));
    } else if (answer === 'gone') this.end('the lease ran out');
    else await sleep(this.clock, ms(RETRY * (0.5 + this.random())));
  }

  private horizon(sent: SteadyMs): SteadyMs {
    return later(sent, ms(shrunk(this.terms.lease) - GUARD));
  }

  private async seek(): Promise<void> {
    const read = await this.store.get(LEADER_KEY, CALL_TIMEOUT, true);
    if (read.kind === 'failed') {
      await sleep(this.clock, ms(RETRY * (0.5 + this.random())));
      return;
    }
    if (read.kind === 'absent') {
      this.holder = undefined;
      this.store.setRole('leaderless');
      await this.take(Revision(0));
      return;
    }
    const holder = Holder.safeParse(read.data);
    if (holder.success && holder.data.node === this.node) {
      if (holder.data.run === this.run) {
        // A transaction of ours whose answer was lost: the key is ours, if its lease still stands.
        const sent = this.clock.steady();
        if (
          read.tenure !== undefined &&
          (await this.store.touchLease(read.tenure, CALL_TIMEOUT)) === 'renewed'
        ) {
          this.begin(Epoch(read.stamp), read.tenure, this.horizon(sent));
        } else await sleep(this.clock, RETRY);
        return;
      }
      // Written by a process of this node that is dead, since we run in its place.
      await this.take(read.stamp);
      return;
    }
    this.holder = holder.success ? NodeId(holder.data.node) : undefined;
    this.store.setRole('following');
    const change = await this.store.follow(LEADER_KEY, read.stamp, WATCH);
    if (change === undefined) await sleep(this.clock, ms(RETRY * (0.5 + this.random())));
  }

  private async take(over: Revision): Promise<void> {
    const sent = this.clock.steady();
    const lease = await this.store.createLease(this.terms.lease, CALL_TIMEOUT);
    if (lease === undefined) {
      await sleep(this.clock, ms(RETRY * (0.5 + this.random())));
      return;
    }
    const result = await this.store.multi(
      [{ key: LEADER_KEY, stamp: over }],
      [{ put: LEADER_KEY, data: { node: this.node, run: this.run }, tenure: lease }],
      CALL_TIMEOUT,
      true,
    );
    if (result.kind === 'committed') {
      this.begin(Epoch(result.revision), lease, this.horizon(sent));
      return;
    }
    // After an unknown outcome the lease must stand: the key may hang on it.
    if (result.kind !== 'unknown') void this.store.dropLease(lease, CALL_TIMEOUT);
    if (result.kind !== 'conflict') await sleep(this.clock, ms(RETRY * (0.5 + this.random())));
  }
}
