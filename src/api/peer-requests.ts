/** What the other controllers ask of this one. */
import type { HttpClient } from '../net/http.js';
import type { MachineImages, PeerRequest, PeerResponse, PeerStatus } from '../peer/messages.js';
import { callWorker } from '../relay/worker-call.js';
import { JobId } from '../units/index.js';
import { encode } from '../wire/index.js';
import type { Leadership } from './leadership.js';
import type { Reply } from './reply.js';
import type { UserRequests } from './user-requests.js';
import type { WorkerReports } from './worker-reports.js';

/** What the rest of the node does with what peers say. */
export interface PeerEvents {
  imageHints(machines: readonly MachineImages[]): void;
  heartbeat(status: PeerStatus): PeerStatus;
}

export class PeerRequests {
  constructor(
    private readonly leadership: Leadership,
    private readonly users: UserRequests,
    private readonly reports: WorkerReports,
    private readonly http: HttpClient,
    private readonly events: PeerEvents,
  ) {}

  async handle(request: PeerRequest): Promise<PeerResponse> {
    switch (request.type) {
      case 'heartbeat':
        return { type: 'status', status: this.events.heartbeat(request.status) };
      case 'imageHints':
        this.events.imageHints(request.machines);
        return { type: 'acknowledged', ok: true };
      case 'jobNotice':
        return { type: 'acknowledged', ok: await this.findJob(request.job) };
      case 'reports':
        return this.reports.handleRelayed(request.node, request.epoch, request.reports);
      case 'command':
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
    await term.find(JobId(id));
    return true;
  }
}

const userResponse = ({ status, retryAfter, body }: Reply): PeerResponse => ({
  type: 'userResponse',
  status,
  retryAfter: retryAfter ?? 0,
  body: body === undefined ? Buffer.alloc(0) : encode(body),
});
