/** Handles the requests that the peers send to this controller. */
import { RELAY_TIMEOUTS } from '../leader/read-leases.js';
import type { HttpClient } from '../net/http.js';
import type {
  MachineImages,
  PeerRequest,
  PeerResponse,
  PeerStatus,
  UserPeerRequest,
} from '../peer/messages.js';
import { sendCommandsToWorker } from '../relay/worker-commands.js';
import { JobId, durationBetween, type Clock } from '../units/index.js';
import { TurnBudget } from '../units/turn-budget.js';
import { encode } from '../wire/index.js';
import type { LeaderView } from './leader-view.js';
import { CLIENT_LEFT, type ApiResponse } from './api-response.js';
import type { RequestMetrics } from './request-metrics.js';
import type { UserRequestHandler } from './user-request-handler.js';
import type { WorkerHeartbeatHandler } from './worker-heartbeat-handler.js';

/** Callbacks for what peers report. */
export interface PeerEvents {
  onImageHints(machines: readonly MachineImages[]): void;
  /** Processes a peer's status and returns the status of this controller. */
  onHeartbeat(status: PeerStatus): PeerStatus;
}

/** The parts of the controller that handling peers' requests depends on. */
export interface PeerRequestDependencies {
  readonly leaderView: LeaderView;
  readonly userRequestHandler: UserRequestHandler;
  readonly workerHeartbeatHandler: WorkerHeartbeatHandler;
  readonly requestMetrics: Pick<RequestMetrics, 'record'>;
  readonly clock: Pick<Clock, 'steady' | 'nextTurn'>;
  /** How many connections this process has accepted. */
  readonly acceptedCount?: () => number;
  readonly http: HttpClient;
  readonly events: PeerEvents;
}

/** Dispatches each request of a peer to its handler. */
export class PeerRequestHandler {
  private readonly turnBudget: TurnBudget;

  constructor(private readonly deps: PeerRequestDependencies) {
    this.turnBudget = new TurnBudget(deps.clock, deps.acceptedCount);
  }

  /** Handles a request according to its type. */
  async handle(request: PeerRequest): Promise<PeerResponse> {
    const { events, http, workerHeartbeatHandler } = this.deps;
    switch (request.type) {
      case 'peerHeartbeat':
        return { type: 'peerStatus', status: events.onHeartbeat(request.status) };
      case 'imageHints':
        events.onImageHints(request.machines);
        return { type: 'acknowledged', ok: true };
      case 'jobNotice':
        return this.handleJobNotice(JobId(request.job));
      case 'workerHeartbeats':
        return workerHeartbeatHandler.handleRelayed(request);
      case 'sendCommands':
        return sendCommandsToWorker(http, request);
      case 'submitJob':
      case 'readJob':
      case 'cancelJob':
        return this.handleUserRequest(request);
    }
  }

  private async handleUserRequest(request: UserPeerRequest): Promise<PeerResponse> {
    const { clock, requestMetrics, userRequestHandler } = this.deps;
    const startedAt = clock.steady();
    await this.turnBudget.begin();
    const waitTime = durationBetween(startedAt, clock.steady());
    const isAbandoned = request.type === 'readJob' && waitTime > RELAY_TIMEOUTS.readJob;
    const response = isAbandoned
      ? CLIENT_LEFT
      : await userRequestHandler.handleRelayed(request, startedAt);
    requestMetrics.record('relayed', response, durationBetween(startedAt, clock.steady()));
    return toUserResponse(response);
  }

  /** A peer wrote a job to the store, which the leader then loads, or is about to tell that a job has come further. */
  private async handleJobNotice(id: JobId): Promise<PeerResponse> {
    const { leaderView, userRequestHandler } = this.deps;
    userRequestHandler.revokePendingAnswers(id);
    const term = leaderView.authorisedTerm();
    if (term?.isReady) await term.findJob(id);
    return { type: 'acknowledged', ok: true };
  }
}

const toUserResponse = ({ status, retryAfter, body }: ApiResponse): PeerResponse => ({
  type: 'userResponse',
  status,
  retryAfter: retryAfter ?? 0,
  body: body === undefined ? Buffer.alloc(0) : encode(body),
});
