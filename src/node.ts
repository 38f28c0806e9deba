import type { Logger } from 'pino';
import * as z from 'zod';
import type { OperatorSettings } from './config/operator.js';
import type { Settings } from './config/settings.js';
import { Service } from './api/service.js';
import { Catalog } from './cloud/catalog.js';
import { CloudClient } from './cloud/client.js';
import { StoreFront } from './ledger/front.js';
import { Election } from './leader/election.js';
import { HintBook, type Hints } from './leader/hints.js';
import { Term } from './leader/term.js';
import type { HttpClient } from './net/http.js';
import type { Peer } from './peer/channel.js';
import { Pulses, recently } from './peer/pulses.js';
import { StoreClient } from './store/client.js';
import { NodeId, ms, seconds, sleep, type Clock, type Random } from './units/index.js';
import { decode, encode } from './wire/index.js';

const CATALOG_KEY = 'catalog';
const CATALOG_EVERY = seconds(60);
const STORE_TIMEOUT = ms(2000);
const HINTS_TIMEOUT = ms(1000);
const HintsBody = z.record(z.string(), z.array(z.tuple([z.string(), z.number()])));

export interface World {
  readonly clock: Clock;
  readonly random: Random;
  readonly http: HttpClient;
  readonly log: Logger;
  readonly peers: ReadonlyMap<NodeId, Peer>;
  /** Names this process among those that have run on this node. */
  readonly run: string;
}

/** One controller: everything but the sockets it listens on, so that tests can drive it. */
export class Controller {
  readonly service: Service;
  readonly election: Election;
  private readonly store: StoreClient;
  private readonly catalog = new Catalog();
  private readonly pulses: Pulses;
  private term: Term | undefined;
  private readonly hints = new HintBook();
  private stopped = false;

  constructor(
    settings: Settings,
    operator: OperatorSettings,
    private readonly world: World,
  ) {
    const { clock, random, http, log } = world;
    this.store = new StoreClient(
      http,
      settings.stateAt,
      clock,
      random,
      { rps: settings.state.rps, writeRps: settings.state.writeRps },
      settings.nodes,
    );
    const front = new StoreFront(this.store, clock);
    const cloud = new CloudClient(http, settings.cloudAt, clock, settings.cloud.rps);
    this.election = new Election(
      this.store,
      settings.node,
      world.run,
      { lease: operator.lease, renew: operator.renew },
      clock,
      random,
      log,
      {
        gained: (epoch) => {
          const term = new Term(epoch, {
            settings,
            operator,
            store: this.store,
            front,
            cloud,
            http,
            catalog: this.catalog,
            clock,
            random,
            log: log.child({ epoch }),
            authority: () => this.election.authority(),
            deposed: (e) => this.election.deposed(e),
            hints: this.hints,
            tellHints: (hints) => this.tellHints(hints),
            spread: () => this.pulses.spread,
          });
          term.capacity.onCatalog = () => void this.keepCatalog();
          this.term = term;
          this.service.term = term;
          void term.start().catch((e: unknown) => log.error({ err: e }, 'rebuild failed'));
        },
        lost: () => {
          this.pulses.spread = this.term?.spreads ?? false;
          this.term?.close();
          this.term = undefined;
          this.service.term = undefined;
        },
      },
    );
    this.service = new Service(
      settings,
      this.election,
      front,
      this.catalog,
      world.peers,
      clock,
      log,
      {
        hints: (body) => this.takeHints(body),
        ping: (body) => this.pulses.answer(body),
        alone: () => this.pulses.alone(this.store.servedAt),
        spread: () => this.pulses.spread,
      },
    );
    this.pulses = new Pulses(
      world.peers,
      clock,
      () => ({
        leader: this.election.leader() ?? '',
        epoch: this.election.leaderEpoch(),
        store: recently(this.store.servedAt, clock.steady()),
        spread: this.term?.spreads ?? this.pulses.spread,
      }),
      (pulse) => {
        if (pulse.leader !== '') this.election.heard(NodeId(pulse.leader), pulse.epoch);
      },
    );
  }

  private takeHints(body: Buffer): void {
    const parsed = HintsBody.safeParse(decode(body));
    if (parsed.success) this.hints.take(parsed.data, this.world.clock.steady());
  }

  private tellHints(hints: Hints): void {
    this.hints.take(hints, this.world.clock.steady());
    const body = encode(hints);
    for (const peer of this.world.peers.values()) {
      if (!peer.responsive) continue;
      void peer.ask({ kind: 'hints', method: '', path: '', body }, HINTS_TIMEOUT);
    }
  }

  start(): void {
    void this.election.serve();
    void this.readCatalog();
    void this.probeStore();
    this.pulses.start();
  }

  /** For tests: what a killed process no longer does. */
  stop(): void {
    this.stopped = true;
    this.election.stop();
    this.pulses.stop();
    this.term?.close();
  }

  private async probeStore(): Promise<void> {
    while (!this.stopped) {
      await this.election.probe();
      await sleep(this.world.clock, ms(1000));
    }
  }

  /** The types as the leader last kept them, so that this node can judge submissions. */
  private async readCatalog(): Promise<void> {
    while (!this.stopped) {
      const pause = this.catalog.known ? CATALOG_EVERY : ms(1000);
      if (!this.term) {
        const read = await this.store.get(CATALOG_KEY, STORE_TIMEOUT);
        if (read.kind === 'found' && !this.term) this.catalog.restore(read.data);
      }
      await sleep(this.world.clock, pause);
    }
  }

  private async keepCatalog(): Promise<void> {
    await this.store.multi([], [{ put: CATALOG_KEY, data: this.catalog.keep() }], STORE_TIMEOUT);
  }
}
