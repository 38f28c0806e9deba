import type { Logger } from 'pino';
import type { OperatorSettings } from './config/operator.js';
import type { Settings } from './config/settings.js';
import { Leadership } from './api/leadership.js';
import { PeerRequests } from './api/peer-requests.js';
import type { Reply } from './api/reply.js';
import { TRY_AGAIN, ISOLATED } from './api/reply.js';
import { UserRequests } from './api/user-requests.js';
import { WorkerHeartbeats } from './api/worker-heartbeats.js';
import { MachineCatalog } from './cloud/machine-catalog.js';
import { CloudClient } from './cloud/client.js';
import { AdmissionControl } from './ledger/admission.js';
import { JobRecords } from './ledger/job-records.js';
import { RecordLimits } from './ledger/record-limits.js';
import { Election } from './leader/election.js';
import { ImageHints } from './leader/image-hints.js';
import type { TermDependencies } from './leader/dependencies.js';
import { Term } from './leader/term.js';
import type { HttpClient } from './net/http.js';
import type { Peer } from './peer/channel.js';
import { PeerLiveness, isRecent } from './peer/liveness.js';
import type { MachineImages, PeerStatus } from './peer/messages.js';
import { HeartbeatRelay } from './relay/heartbeat-relay.js';
import { StoreClient } from './store/client.js';
import { NodeId, ms, seconds, sleep, type Clock, type Epoch, type Random } from './units/index.js';

const CATALOG_KEY = 'catalog';
const CATALOG_INTERVAL = seconds(60);
const STORE_TIMEOUT = ms(2000);
const IMAGE_HINTS_TIMEOUT = ms(1000);

export interface ControllerEnvironment {
  readonly clock: Clock;
  readonly random: Random;
  readonly http: HttpClient;
  readonly log: Logger;
  readonly peers: ReadonlyMap<NodeId, Peer>;
  /** Names this process among those that have run on this node. */
  readonly processId: string;
}

/** One controller: everything but the sockets it listens on, so that tests can drive it. */
export class Controller {
  readonly userRequests: UserRequests;
  readonly workerHeartbeats: WorkerHeartbeats;
  readonly peerRequests: PeerRequests;
  readonly election: Election;
  private readonly store: StoreClient;
  private readonly catalog = new MachineCatalog();
  private readonly peerLiveness: PeerLiveness;
  private readonly leadership: Leadership;
  private readonly imageHints = new ImageHints();
  private hasSeenLeader = false;
  private stopped = false;

  constructor(
    private readonly settings: Settings,
    operator: OperatorSettings,
    private readonly environment: ControllerEnvironment,
  ) {
    const { clock, random, http, log } = environment;
    this.store = new StoreClient({
      http,
      endpoint: settings.storeEndpoint,
      clock,
      random,
      limits: settings.state,
      nodeCount: settings.nodes,
    });
    const recordLimits = new RecordLimits(settings.state, () => {
      log.info('the state service has lowered its limits');
      this.store.lowerRates();
    });
    const jobRecords = new JobRecords(this.store, clock, recordLimits);
    const cloud = new CloudClient(http, settings.cloudEndpoint, clock, settings.cloud.requestRate);
    this.election = new Election(
      this.store,
      settings.node,
      environment.processId,
      { duration: operator.lease, renewInterval: operator.renewInterval },
      clock,
      random,
      log,
      {
        onGained: (epoch) => this.beginTerm(epoch, operator, { jobRecords, recordLimits, cloud }),
        onLost: () => {
          this.leadership.term?.close();
          this.leadership.term = undefined;
        },
      },
    );
    this.leadership = new Leadership(this.election, environment.peers);
    this.peerLiveness = new PeerLiveness(environment.peers, clock, log, {
      ownStatus: () => this.ownStatus(),
      onPeerStatus: ({ leader, epoch }) => {
        if (leader !== '') this.election.noteLeader(NodeId(leader), epoch);
      },
    });
    const isIsolated = (): boolean => this.peerLiveness.isIsolated(this.store.servedAt);
    this.userRequests = new UserRequests(
      new AdmissionControl(this.catalog, settings.teams, recordLimits),
      this.leadership,
      jobRecords,
      clock,
      log,
      isIsolated,
    );
    const relay = new HeartbeatRelay({
      node: settings.node,
      clock,
      log,
      leaderPeer: () => this.leadership.leaderPeer(),
    });
    this.workerHeartbeats = new WorkerHeartbeats(
      settings,
      this.leadership,
      relay,
      clock,
      isIsolated,
    );
    this.peerRequests = new PeerRequests(
      this.leadership,
      this.userRequests,
      this.workerHeartbeats,
      http,
      {
        onImageHints: (machines) => this.imageHints.record(machines, clock.steady()),
        onHeartbeat: (status) => this.peerLiveness.respond(status),
      },
    );
  }

  private beginTerm(
    epoch: Epoch,
    operator: OperatorSettings,
    shared: Pick<TermDependencies, 'jobRecords' | 'recordLimits' | 'cloud'>,
  ): void {
    const { clock, random, http, log, peers } = this.environment;
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
      onDeposed: (e) => this.election.noteDeposed(e),
      imageHints: this.imageHints,
      broadcastImageHints: (machines) => this.broadcastImageHints(machines),
      peers,
    });
    term.autoscaler.onMachineTypesChanged = () => void this.keepCatalog();
    this.leadership.term = term;
    void term.start().catch((e: unknown) => log.error({ err: e }, 'rebuild failed'));
  }

  private ownStatus(): PeerStatus {
    return {
      leader: this.election.leader() ?? '',
      epoch: this.election.leaderEpoch(),
      storeReachable: isRecent(this.store.servedAt, this.environment.clock.steady()),
    };
  }

  /**
   * Healthy once it has been in touch with the store or a leader. It stays so when the store is out
   * for all: a node that says "come back" at once serves users better than one taken off the balancer,
   * whose connections are reset and which is let back in only after a pause. One that is cut off alone
   * says so, since another node could serve the users that stay with it.
   */
  health(): Reply {
    this.hasSeenLeader ||= this.election.leader() !== undefined;
    if (!this.hasSeenLeader) return TRY_AGAIN;
    if (this.peerLiveness.isIsolated(this.store.servedAt)) return ISOLATED;
    return { status: 200, body: { node: this.settings.node } };
  }

  private broadcastImageHints(machines: readonly MachineImages[]): void {
    this.imageHints.record(machines, this.environment.clock.steady());
    for (const peer of this.environment.peers.values()) {
      if (peer.responsive) void peer.request({ type: 'imageHints', machines }, IMAGE_HINTS_TIMEOUT);
    }
  }

  start(): void {
    void this.election.run();
    void this.readCatalog();
    void this.probeStore();
    this.peerLiveness.start();
  }

  /** For tests: what a killed process no longer does. */
  stop(): void {
    this.stopped = true;
    this.election.stop();
    this.peerLiveness.stop();
    this.leadership.term?.close();
  }

  private async probeStore(): Promise<void> {
    while (!this.stopped) {
      await this.election.probe();
      await sleep(this.environment.clock, ms(1000));
    }
  }

  /** The types as the leader last kept them, so that this node can judge submissions. */
  private async readCatalog(): Promise<void> {
    while (!this.stopped) {
      const pause = this.catalog.isKnown ? CATALOG_INTERVAL : ms(1000);
      if (!this.leadership.term) {
        const read = await this.store.get(CATALOG_KEY, STORE_TIMEOUT);
        if (read.kind === 'found' && !this.leadership.term) this.catalog.restore(read.data);
      }
      await sleep(this.environment.clock, pause);
    }
  }

  private async keepCatalog(): Promise<void> {
    await this.store.transact(
      [],
      [{ put: CATALOG_KEY, data: this.catalog.encode() }],
      STORE_TIMEOUT,
    );
  }
}
