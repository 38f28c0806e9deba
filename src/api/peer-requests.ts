/** What the other controllers ask of this one. */
import type { HttpClient } from '../net/http.js';
import type { MachineImages, PeerRequest, PeerResponse, PeerStatus } from '../peer/messages.js';
import { callWorker } from '../relay/worker-call.js';
import { JobId } from '../units/index.js';
import { encode } from '../wire/index.js';
import type { Leadership } from './leadership.js';
import type { Reply } from './reply.js';
import type { UserRequests } from './user-requests.js';
import type { WorkerHeartbeats } from './worker-heartbeats.js';

/** What the rest of the node does with what peers say. */
export interface PeerEvents {
  onImageHints(machines: readonly MachineImages[]): void;
  onHeartbeat(status: PeerStatus): PeerStatus;
}

export class PeerRequests {
  constructor(
    private readonly leadership: Leadership,
    private readonly users: UserRequests,
    private readonly workerHeartbeats: WorkerHeartbeats,
    private readonly http: HttpClient,
    private readonly events: PeerEvents,
  ) {}

  async handle(request: PeerRequest): Promise<PeerResponse> {
    switch (request.type) {
      case 'peerHeartbeat':
        return { type: 'peerStatus', status: this.events.onHeartbeat(request.status) };
      case 'imageHints':
        this.events.onImageHints(request.machines);
        return { type: 'acknowledged', ok: true };
      case 'jobNotice':
        return { type: 'acknowledged', ok: await this.findJob(request.job) };
      case 'workerHeartbeats':
        return this.workerHeartbeats.handleRelayed(request.node, request.epoch, request.heartbeats);
      case 'sendCommands':
        return callWorker(this.http, request);
      case 'submitJob':
      case 'readJob':
      case 'cancelJob':
        return userResponse(await this.users.handleRelayed(request));
    }
  }

  private async findJob(id: string): Promise<boolean> {
    const term = this.leadership.authorisedTerm();
    if (!term?.isReady) return false;
    await term.findJob(JobId(id));
    return true;
  }
}

const userResponse = ({ status, retryAfter, body }: Reply): PeerResponse => ({
  type: 'userResponse',
  status,
  retryAfter: retryAfter ?? 0,
  body: body === undefined ? Buffer.alloc(0) : encode(body),
});
