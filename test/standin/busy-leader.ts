/**
 * A simulated leader with little processing time: it handles its peers' requests one after the other in the order of
 * arrival, also those for which nobody waits any more.
 */
import type { Peer } from '../../src/peer/peer.js';
import type { PeerRequest, PeerResponse } from '../../src/peer/messages.js';
import type { Clock, DurationMs } from '../../src/units/index.js';
import { encode } from '../../src/wire/index.js';
import type { TimeSource } from './clock.js';

/** The processing time of each kind of request. */
export interface LeaderCosts {
  readonly userRequestMs: number;
  readonly heartbeatMs: number;
  /** How long each request waits for its turn in the event loop, beside the processing time of others. */
  readonly turnMs: number;
}

const EPOCH = 7;
const BASELINE = 1;

/** The leader as a follower sees it. It answers each user's request with 200 and accepts each heartbeat. */
export class BusyLeader implements Peer {
  readonly isResponsive = true;
  /** When it will have handled all requests that have arrived. */
  private idleAt = 0;

  constructor(
    private readonly time: TimeSource,
    private readonly clock: Clock,
    private readonly costs: LeaderCosts,
  ) {}

  sendRequest(request: PeerRequest, timeout: DurationMs): Promise<PeerResponse | undefined> {
    const { now } = this.time;
    this.idleAt = Math.max(this.idleAt, now) + this.costOf(request);
    return new Promise((resolve) => {
      const timer = this.clock.after(timeout, () => resolve(undefined));
      this.time.after(this.idleAt - now + this.costs.turnMs, () => {
        timer.cancel();
        resolve(responseTo(request));
      });
    });
  }

  private costOf(request: PeerRequest): number {
    const { userRequestMs, heartbeatMs } = this.costs;
    return request.type === 'workerHeartbeats'
      ? request.heartbeats.length * heartbeatMs
      : userRequestMs;
  }
}

function responseTo(request: PeerRequest): PeerResponse {
  if (request.type !== 'workerHeartbeats') {
    return { type: 'userResponse', status: 200, retryAfter: 0, body: encode({}) };
  }
  const responses = request.heartbeats.map(() => ({
    outcome: 'accepted' as const,
    baseline: BASELINE,
    commands: [],
  }));
  return { type: 'heartbeatResponses', epoch: EPOCH, responses };
}
