/** One controller without the sockets that it listens on, so that tests can drive it. */
import type { Logger } from 'pino';
import { LeaderView } from './api/leader-view.js';
import { PeerRequestHandler } from './api/peer-request-handler.js';
import { CONTROLLER_ISOLATED, serviceUnavailable, type ApiResponse } from './api/api-response.js';
import { RequestMetrics } from './api/request-metrics.js';
import { UserRequestHandler } from './api/user-request-handler.js';
import { WorkerHeartbeatHandler } from './api/worker-heartbeat-handler.js';
import { CloudClient } from './cloud/client.js';
import { MachineCatalog } from './cloud/machine-catalog.js';
import type { OperatorSettings } from './config/operator-settings.js';
import type { Settings } from './config/settings.js';
import { AdmissionControl } from './ledger/admission-control.js';
import { JobRecords } from './ledger/job-records.js';
import { RecordLimits } from './ledger/record-limits.js';
import { Election } from './leader/election.js';
import { ImageHintCache } from './leader/image-hints.js';
import { CatalogSync } from './leader/catalog-sync.js';
import { ReadLeases } from './leader/read-leases.js';
import { Term } from './leader/term.js';
import type { HttpClient } from './net/http.js';
import type { Peer } from './peer/peer.js';
import { PeerLiveness } from './peer/peer-liveness.js';
import { isRecentResponse } from './peer/reachability.js';
import type { MachineImages, PeerStatus } from './peer/messages.js';
import { HeartbeatRelay } from './relay/heartbeat-relay.js';
import { ServiceLog, type ProcessReport } from './service-log.js';
import { StoreClient } from './store/client.js';
import { runInBackground } from './units/run-in-background.js';
import { ControllerId, ms, type Clock, type Epoch, type Random } from './units/index.js';

const IMAGE_HINTS_TIMEOUT = ms(1000);

/** What a controller receives from its process: clock, random numbers, HTTP client, log and connections to its peers. */
export interface ControllerEnvironment {
  readonly clock: Clock;
  readonly random: Random;
  readonly http: HttpClient;
  readonly log: Logger;
  readonly peers: ReadonlyMap<ControllerId, Peer>;
  /** Distinguishes this process from earlier processes of the same controller. */
  readonly processId: string;
  /** How many connections of clients the process has accepted; absent in tests without servers. */
  readonly acceptedCount?: () => number;
  /** Reports on the process for the log; absent in tests without processes. */
  readonly processReport?: () => ProcessReport;
}

/** Takes part in the election, leads terms, and handles requests from users, workers and the other controllers. */
export class Controller {
  readonly userRequestHandler: UserRequestHandler;
  readonly workerHeartbeatHandler: WorkerHeartbeatHandler;
  readonly peerRequestHandler: PeerRequestHandler;
  readonly election: Election;
  readonly requestMetrics = new RequestMetrics();
  private readonly store: StoreClient;
  private readonly recordLimits: RecordLimits;
  private readonly jobRecords: JobRecords;
  private readonly cloud: CloudClient;
  private readonly catalog = new MachineCatalog();
  private readonly catalogSync: CatalogSync;
  private readonly peerLiveness: PeerLiveness;
  private readonly leaderView: LeaderView;
  private readonly imageHints = new ImageHintCache();
  private readonly readLeases = new ReadLeases();
  private readonly serviceLog: ServiceLog;
  private hasSeenLeader = false;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly environment: ControllerEnvironment,
  ) {
    const { clock, random, http, log, peers } = environment;
    this.store = new StoreClient({
      http,
      endpoint: settings.storeEndpoint,
      clock,
      random,
      limits: settings.storeLimits,
      controllerCount: settings.controllerCount,
    });
    this.recordLimits = new RecordLimits(settings.storeLimits, () => {
      log.info(
        'the state store applies its announced limits from now on; request rates and record sizes are lowered',
      );
      this.store.lowerRates();
    });
    this.jobRecords = new JobRecords(this.store, clock, this.recordLimits);
    this.cloud = new CloudClient(http, settings.cloudEndpoint, clock, settings.cloud.requestRate);
    this.election = this.createElection();
    this.leaderView = new LeaderView(this.election, peers);
    this.catalogSync = new CatalogSync({
      store: this.store,
      catalog: this.catalog,
      clock,
      isLeader: () => this.leaderView.term !== undefined,
    });
    this.peerLiveness = new PeerLiveness(peers, clock, log, {
      ownStatus: () => this.ownStatus(),
      storeContact: () => this.store,
      onPeerStatus: ({ leader, epoch }) => {
        if (leader !== '') this.election.recordLeader(ControllerId(leader), epoch);
      },
      leader: () => this.election.leader(),
    });
    this.userRequestHandler = this.createUserRequestHandler();
    this.workerHeartbeatHandler = this.createWorkerHeartbeatHandler();
    this.peerRequestHandler = this.createPeerRequestHandler();
    this.serviceLog = this.createServiceLog();
  }

  /** The clock by which requests are timed. */
  get clock(): Clock {
    return this.environment.clock;
  }

  private createServiceLog(): ServiceLog {
    const { clock, log, processReport } = this.environment;
    const { election, leaderView, requestMetrics, userRequestHandler } = this;
    return new ServiceLog({
      clock,
      log,
      requestMetrics,
      storeMetrics: this.store.metrics,
      leadership: () => ({
        leader: election.leader(),
        leaderEpoch: election.leaderEpoch(),
        authority: election.authority(),
        isReady: leaderView.term?.isReady === true,
        reachability: this.peerLiveness.reachability(),
      }),
      unansweredJobs: userRequestHandler.unansweredJobs,
      processReport,
    });
  }

  private createElection(): Election {
    const { clock, random, log, processId } = this.environment;
    return new Election({
      store: this.store,
      controllerId: this.settings.controllerId,
      processId,
      timing: { duration: this.operator.lease, renewInterval: this.operator.renewInterval },
      clock,
      random,
      log,
      events: {
        onTermStarted: (epoch) => this.startTerm(epoch),
        onTermEnded: () => this.endTerm(),
      },
    });
  }

  private createUserRequestHandler(): UserRequestHandler {
    const { catalog, jobRecords, leaderView, readLeases, recordLimits } = this;
    const { clock, log } = this.environment;
    return new UserRequestHandler({
      admission: new AdmissionControl(catalog, this.settings.teams, recordLimits),
      leaderView,
      jobRecords,
      readLeases,
      clock,
      log,
      reachability: () => this.peerLiveness.reachability(),
    });
  }

  private createWorkerHeartbeatHandler(): WorkerHeartbeatHandler {
    const { leaderView } = this;
    const { controllerId } = this.settings;
    const { clock, log } = this.environment;
    return new WorkerHeartbeatHandler({
      controllerId,
      leaderView,
      relay: new HeartbeatRelay({
        controllerId,
        clock,
        log,
        leaderPeer: () => leaderView.leaderPeer(),
      }),
      clock,
      isIsolated: () => this.isIsolated(),
    });
  }

  private createPeerRequestHandler(): PeerRequestHandler {
    const { acceptedCount, clock, http } = this.environment;
    return new PeerRequestHandler({
      ...(acceptedCount && { acceptedCount }),
      requestMetrics: this.requestMetrics,
      clock,
      leaderView: this.leaderView,
      userRequestHandler: this.userRequestHandler,
      workerHeartbeatHandler: this.workerHeartbeatHandler,
      http,
      events: {
        onImageHints: (machines) => this.imageHints.recordHints(machines, clock.steady()),
        onHeartbeat: (status) => this.peerLiveness.handleHeartbeat(status),
      },
    });
  }

  private startTerm(epoch: Epoch): void {
    const { clock, random, http, log, peers } = this.environment;
    const { catalog, cloud, imageHints, jobRecords, operator, recordLimits, settings, store } =
      this;
    const term = new Term(epoch, {
      settings,
      operator,
      store,
      jobRecords,
      recordLimits,
      cloud,
      http,
      catalog,
      clock,
      random,
      log: log.child({ epoch }),
      authority: () => this.election.authority(),
      onDeposed: (deposed) => this.election.onDeposed(deposed),
      onMachineTypesChanged: () =>
        runInBackground(this.catalogSync.save(), log, 'saving machine types to the state store'),
      imageHints,
      readLeases: this.readLeases,
      broadcastImageHints: (machines) => this.broadcastImageHints(machines),
      peers,
    });
    this.leaderView.term = term;
    runInBackground(term.start(), log, 'recovery of the job records at the start of the term');
  }

  private endTerm(): void {
    this.leaderView.term?.close();
    this.leaderView.term = undefined;
  }

  private ownStatus(): PeerStatus {
    return {
      leader: this.election.leader() ?? '',
      epoch: this.election.leaderEpoch(),
      storeReachable: isRecentResponse(this.store.lastResponseAt, this.environment.clock.steady()),
    };
  }

  private isIsolated(): boolean {
    return this.peerLiveness.reachability() === 'isolated';
  }

  private broadcastImageHints(machines: readonly MachineImages[]): void {
    const { clock, log, peers } = this.environment;
    this.imageHints.recordHints(machines, clock.steady());
    for (const peer of peers.values()) {
      if (!peer.isResponsive) continue;
      const sent = peer.sendRequest({ type: 'imageHints', machines }, IMAGE_HINTS_TIMEOUT);
      runInBackground(sent, log, 'sending image hints to a peer');
    }
  }

  /**
   * The response to a health check. The controller is healthy once it has learned of a leader, from the store or a
   * peer, and stays healthy while the store is unavailable to all controllers: a quick response that tells users to
   * retry serves them better than removal from the load balancer, which resets connections and readmits the controller
   * only after a delay. While it is isolated, it responds as unhealthy, since another controller may serve its users.
   */
  health(): ApiResponse {
    this.hasSeenLeader ||= this.election.leader() !== undefined;
    if (!this.hasSeenLeader) return serviceUnavailable('noLeader');
    if (this.isIsolated()) return CONTROLLER_ISOLATED;
    return { status: 200, body: { node: this.settings.controllerId } };
  }

  /** Joins the election and starts periodic work. Requests are handled as far as possible even before that. */
  start(): void {
    this.election.start();
    runInBackground(
      this.catalogSync.run(),
      this.environment.log,
      'reading machine types from the state store',
    );
    this.peerLiveness.start();
    this.serviceLog.start();
  }

  /** For tests: ends all periodic work, as if the process had been killed. */
  stop(): void {
    this.serviceLog.stop();
    this.catalogSync.stop();
    this.election.stop();
    this.peerLiveness.stop();
    this.leaderView.term?.close();
  }
}
