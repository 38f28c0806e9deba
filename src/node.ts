import type { Logger } from 'pino';
import type { OperatorSettings } from './config/operator.js';
import type { Settings } from './config/settings.js';
import { Leadership } from './api/leadership.js';
import { PeerRequests } from './api/peer-requests.js';
import type { Reply } from './api/reply.js';
import { TRY_AGAIN, ISOLATED } from './api/reply.js';
import { UserRequests } from './api/user-requests.js';
import { WorkerReports } from './api/worker-reports.js';
import { Catalog } from './cloud/catalog.js';
import { CloudClient } from './cloud/client.js';
import { Admission } from './ledger/admission.js';
import { StoreFront } from './ledger/front.js';
import { RecordLimits } from './ledger/record-limits.js';
import { Election } from './leader/election.js';
import { ImageHints } from './leader/image-hints.js';
import type { TermDeps } from './leader/deps.js';
import { Term } from './leader/term.js';
import type { HttpClient } from './net/http.js';
import type { Peer } from './peer/channel.js';
import { Heartbeats, isRecent } from './peer/heartbeats.js';
import type { MachineImages, PeerStatus } from './peer/messages.js';
import { ReportRelay } from './relay/report-relay.js';
import { StoreClient } from './store/client.js';
import { NodeId, ms, seconds, sleep, type Clock, type Epoch, type Random } from './units/index.js';

const CATALOG_KEY = 'catalog';
const CATALOG_EVERY = seconds(60);
const STORE_TIMEOUT = ms(2000);
const IMAGE_HINTS_TIMEOUT = ms(1000);

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
  readonly users: UserRequests;
  readonly workers: WorkerReports;
  readonly peers: PeerRequests;
  readonly election: Election;
  private readonly store: StoreClient;
  private readonly catalog = new Catalog();
  private readonly heartbeats: Heartbeats;
  private readonly leadership: Leadership;
  private readonly imageHints = new ImageHints();
  private storeSeen = false;
  private stopped = false;

  constructor(
    private readonly settings: Settings,
    operator: OperatorSettings,
    private readonly world: World,
  ) {
    const { clock, random, http, log } = world;
    this.store = new StoreClient(
      http,
      settings.stateAt,
      clock,
      random,
      settings.state,
      settings.nodes,
    );
    const recordLimits = new RecordLimits(settings.state, () => {
      log.info('the state service has lowered its limits');
      this.store.lowerRates();
    });
    const front = new StoreFront(this.store, clock, recordLimits);
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
        gained: (epoch) => this.beginTerm(epoch, operator, { front, recordLimits, cloud }),
        lost: () => {
          this.leadership.term?.close();
          this.leadership.term = undefined;
        },
      },
    );
    this.leadership = new Leadership(this.election, world.peers);
    this.heartbeats = new Heartbeats(
      world.peers,
      clock,
      () => this.ownStatus(),
      ({ leader, epoch }) => {
        if (leader !== '') this.election.heard(NodeId(leader), epoch);
      },
    );
    const isIsolated = (): boolean => this.heartbeats.isIsolated(this.store.servedAt);
    this.users = new UserRequests(
      new Admission(this.catalog, settings.teams, recordLimits),
      this.leadership,
      front,
      clock,
      log,
      isIsolated,
    );
    const relay = new ReportRelay(settings.node, clock, () => this.leadership.leaderPeer());
    this.workers = new WorkerReports(settings, this.leadership, relay, clock, isIsolated);
    this.peers = new PeerRequests(this.leadership, this.users, this.workers, http, {
      imageHints: (machines) => this.imageHints.take(machines, clock.steady()),
      heartbeat: (status) => this.heartbeats.respond(status),
    });
  }

  private beginTerm(
    epoch: Epoch,
    operator: OperatorSettings,
    shared: Pick<TermDeps, 'front' | 'recordLimits' | 'cloud'>,
  ): void {
    const { clock, random, http, log, peers } = this.world;
    const term = new Term(epoch, {
      ...shared,
      settings: this.settings,
      operator,
      store: this.store,
      http,
      catalog: this.catalog,
      clock,
      random,
      log: log.child({ epoch }),
      authority: () => this.election.authority(),
      deposed: (e) => this.election.deposed(e),
      imageHints: this.imageHints,
      tellImages: (machines) => this.tellImages(machines),
      peers,
    });
    term.capacity.onCatalog = () => void this.keepCatalog();
    this.leadership.term = term;
    void term.start().catch((e: unknown) => log.error({ err: e }, 'rebuild failed'));
  }

  private ownStatus(): PeerStatus {
    return {
      leader: this.election.leader() ?? '',
      epoch: this.election.leaderEpoch(),
      storeReachable: isRecent(this.store.servedAt, this.world.clock.steady()),
    };
  }

  /**
   * Healthy once it has been in touch with the store or a leader. It stays so when the store is out
   * for all: a node that says "come back" at once serves users better than one taken off the balancer,
   * whose connections are reset and which is let back in only after a pause. One that is cut off alone
   * says so, since another node could serve the users that stay with it.
   */
  health(): Reply {
    this.storeSeen ||= this.election.leader() !== undefined;
    if (!this.storeSeen) return TRY_AGAIN;
    if (this.heartbeats.isIsolated(this.store.servedAt)) return ISOLATED;
    return { status: 200, body: { node: this.settings.node } };
  }

  private tellImages(machines: readonly MachineImages[]): void {
    this.imageHints.take(machines, this.world.clock.steady());
    for (const peer of this.world.peers.values()) {
      if (peer.responsive) void peer.ask({ type: 'imageHints', machines }, IMAGE_HINTS_TIMEOUT);
    }
  }

  start(): void {
    void this.election.serve();
    void this.readCatalog();
    void this.probeStore();
    this.heartbeats.start();
  }

  /** For tests: what a killed process no longer does. */
  stop(): void {
    this.stopped = true;
    this.election.stop();
    this.heartbeats.stop();
    this.leadership.term?.close();
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
      if (!this.leadership.term) {
        const read = await this.store.get(CATALOG_KEY, STORE_TIMEOUT);
        if (read.kind === 'found' && !this.leadership.term) this.catalog.restore(read.data);
      }
      await sleep(this.world.clock, pause);
    }
  }

  private async keepCatalog(): Promise<void> {
    await this.store.multi([], [{ put: CATALOG_KEY, data: this.catalog.keep() }], STORE_TIMEOUT);
  }
}
