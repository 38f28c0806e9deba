/** What the other controllers ask of this one. */
import type { HttpClient } from '../net/http.js';
import type { MachineImages, PeerRequest, PeerResponse, PeerStatus } from '../peer/messages.js';
import { sendCommandsToWorker } from '../relay/worker-commands.js';
import { JobId } from '../units/index.js';
import { encode } from '../wire/index.js';
import type { LeaderView } from './leader-view.js';
import type { ApiResponse } from './api-response.js';
import type { UserRequestHandler } from './user-request-handler.js';
import type { WorkerHeartbeatHandler } from './worker-heartbeat-handler.js';

/** What the rest of the node does with what peers say. */
export interface PeerEvents {
  onImageHints(machines: readonly MachineImages[]): void;
  /** Takes a peer's status in, and returns our own. */
  onHeartbeat(status: PeerStatus): PeerStatus;
}

/** What peers' requests need of the rest of the node. */
export interface PeerRequestDependencies {
  readonly leadership: LeaderView;
  readonly userRequests: UserRequestHandler;
  readonly workerHeartbeats: WorkerHeartbeatHandler;
  readonly http: HttpClient;
  readonly events: PeerEvents;
}

/** Answers the other controllers. */
export class PeerRequestHandler {
  constructor(private readonly deps: PeerRequestDependencies) {}

  /** The response to a request, by its type. */
  async handle(request: PeerRequest): Promise<PeerResponse> {
    const { events, http, userRequests, workerHeartbeats } = this.deps;
    switch (request.type) {
      case 'peerHeartbeat':
        return { type: 'peerStatus', status: events.onHeartbeat(request.status) };
      case 'imageHints':
        events.onImageHints(request.machines);
        return { type: 'acknowledged', ok: true };
      case 'jobNotice':
        return { type: 'acknowledged', ok: await this.adoptJob(JobId(request.job)) };
      case 'workerHeartbeats':
        return workerHeartbeats.handleRelayed(request.node, request.epoch, request.heartbeats);
      case 'sendCommands':
        return sendCommandsToWorker(http, request);
      case 'submitJob':
      case 'readJob':
      case 'cancelJob':
        return toUserResponse(await userRequests.handleRelayed(request));
    }
  }

  /** Reads a job that the peer wrote into the store; false if this node does not lead. */
  private async adoptJob(id: JobId): Promise<boolean> {
    const term = this.deps.leadership.authorisedTerm();
    if (!term?.isReady) return false;
    await term.findJob(id);
    return true;
  }
}

const toUserResponse = ({ status, retryAfter, body }: ApiResponse): PeerResponse => ({
  type: 'userResponse',
  status,
  retryAfter: retryAfter ?? 0,
  body: body === undefined ? Buffer.alloc(0) : encode(body),
});
