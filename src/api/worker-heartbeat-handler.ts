/**
 * Workers' heartbeats: answered by the leader under its authority, passed on to it by the other nodes.
 * Only the leader causes a 200, since that renews the lease of all tasks on a machine.
 */
import type { Term } from '../leader/term.js';
import type { PeerResponse, RelayedHeartbeat, HeartbeatResponse } from '../peer/messages.js';
import type { HeartbeatRelay } from '../relay/heartbeat-relay.js';
import {
  MachineId,
  later,
  ms,
  seconds,
  durationBetween,
  sleep,
  type Clock,
  type NodeId,
  type SteadyMs,
} from '../units/index.js';
import { ExpiringMap } from '../units/expiring-map.js';
import {
  decode,
  decodeHeartbeat,
  encodeHeartbeatReply,
  encodeRedirect,
  type Heartbeat,
} from '../wire/index.js';
import type { LeaderView } from './leader-view.js';
import { INVALID_HEARTBEAT, CANNOT_ANSWER_HEARTBEAT, type ApiResponse } from './api-response.js';

/**
 * A leader that has ended is replaced after about its lease. One that has not answered us for longer
 * than this still leads, and only we can't reach it.
 */
const LEADER_UNREACHABLE_AFTER = seconds(5);
/**
 * So many relayed heartbeats are handled in one turn. A leader that has just taken over has hundreds of
 * them to handle, by code that is not compiled yet, and must get to the renewal of its lease meanwhile.
 */
const HEARTBEATS_PER_TURN = 20;
/** Heartbeats beyond so many commands wait for another batch, so that the response fits a frame. */
const MAX_COMMANDS_PER_BATCH = 2000;
/** A worker that was redirected and is back this soon can't reach the node that it was sent to. */
const BOUNCE_WINDOW = seconds(9);
/** For so long such a worker is served here. */
const REDIRECT_SUPPRESSION_TIME = seconds(20);
/** After this a redirect is forgotten. */
const REDIRECT_TTL = seconds(60);

/** A worker that was sent to another node. */
interface Redirect {
  readonly at: SteadyMs;
  /** Set once it came back so soon that it is served here. */
  servedUntil: SteadyMs | undefined;
}

const REFUSED: HeartbeatResponse = { outcome: 'refused', baseline: 0, commands: [] };
const BASELINE_UNKNOWN: HeartbeatResponse = {
  outcome: 'baselineUnknown',
  baseline: 0,
  commands: [],
};

/** What heartbeats need of the rest of the node. */
export interface WorkerHeartbeatDependencies {
  /** This node. */
  readonly controllerId: NodeId;
  readonly leadership: LeaderView;
  readonly relay: HeartbeatRelay;
  readonly clock: Clock;
  /** Whether this node alone is cut off from the store and the other nodes. */
  readonly isIsolated: () => boolean;
}

/** Answers workers, whether they report to this node or to another that passes their heartbeats on. */
export class WorkerHeartbeatHandler {
  private readonly redirects = new ExpiringMap<MachineId, Redirect>(REDIRECT_TTL);
  /** Since when the leader that we know of has not answered us. */
  private leaderUnreachableSince: SteadyMs | undefined;
  private readonly leadership: LeaderView;
  private readonly clock: Clock;

  constructor(private readonly deps: WorkerHeartbeatDependencies) {
    this.leadership = deps.leadership;
    this.clock = deps.clock;
  }

  /** A heartbeat that came straight from its worker. */
  async handle(body: Buffer): Promise<ApiResponse> {
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) return INVALID_HEARTBEAT;
    const term = this.leadership.authorisedTerm();
    if (term) return this.answerHere(heartbeat, term);
    // The node that we take for the leader may be gone for long.
    if (this.deps.isIsolated()) return CANNOT_ANSWER_HEARTBEAT;
    const leader = this.unreachableLeader();
    // The worker may reach the leader where we don't.
    if (leader !== undefined && !this.isRedirectFailed(heartbeat.machine))
      return redirectTo(leader);
    const reply = await this.deps.relay.send(heartbeat, body.length);
    if (reply) return { status: 200, body: encodeHeartbeatReply(reply) };
    // This node may have come to lead while it waited for the leader.
    const own = this.leadership.authorisedTerm();
    return own ? this.answerHere(heartbeat, own) : CANNOT_ANSWER_HEARTBEAT;
  }

  /** The leader, if it is another node that we have not reached for longer than a failover takes. */
  private unreachableLeader(): NodeId | undefined {
    const leader = this.leadership.leaderId();
    if (leader === undefined || leader === this.deps.controllerId || this.leadership.leaderPeer()) {
      this.leaderUnreachableSince = undefined;
      return undefined;
    }
    const now = this.clock.steady();
    this.leaderUnreachableSince ??= now;
    return durationBetween(this.leaderUnreachableSince, now) > LEADER_UNREACHABLE_AFTER
      ? leader
      : undefined;
  }

  private async answerHere(heartbeat: Heartbeat, term: Term): Promise<ApiResponse> {
    // It has seen a newer token than ours: we have no right to act any more.
    if (heartbeat.fencingToken > term.epoch) return CANNOT_ANSWER_HEARTBEAT;
    const follower = term.redirectsWorkers ? this.followerFor(heartbeat.machine) : undefined;
    if (follower !== undefined && !this.isRedirectFailed(heartbeat.machine))
      return redirectTo(follower);
    if (!(await this.isRebuilt(term))) return CANNOT_ANSWER_HEARTBEAT;
    const reply = term.handleHeartbeat(heartbeat);
    return this.leadership.authorisedTerm() === term
      ? { status: 200, body: encodeHeartbeatReply(reply) }
      : CANNOT_ANSWER_HEARTBEAT;
  }

  /**
   * A 200 keeps all tasks of a worker alive: none before we know which of them are cancelled, or
   * leaders that end one after the other before they know would keep those beyond their time.
   */
  private async isRebuilt(term: Term): Promise<boolean> {
    if (!term.isReady) await term.rebuildSettled;
    return term.isReady && this.leadership.authorisedTerm() === term;
  }

  /** Heartbeats that another node passed on: one response for each, in their order. */
  async handleRelayed(
    sender: NodeId,
    epoch: number,
    heartbeats: readonly RelayedHeartbeat[],
  ): Promise<PeerResponse> {
    const term = this.leadership.authorisedTerm();
    if (!term || !(await this.isRebuilt(term))) return allRefused(heartbeats.length);
    const responses: HeartbeatResponse[] = [];
    let commandCount = 0;
    for (const relayed of heartbeats) {
      if (responses.length > 0 && responses.length % HEARTBEATS_PER_TURN === 0) {
        await sleep(this.clock, ms(0));
        if (this.leadership.authorisedTerm() !== term) return allRefused(heartbeats.length);
      }
      const isFull = commandCount >= MAX_COMMANDS_PER_BATCH;
      const response = isFull ? REFUSED : this.answerRelayed(term, sender, epoch, relayed);
      commandCount += response.commands.length;
      responses.push(response);
    }
    // A 200 may follow from this response only if authority stands now that all of them are handled.
    if (this.leadership.authorisedTerm() !== term) return allRefused(heartbeats.length);
    return { type: 'heartbeatResponses', epoch: term.epoch, responses };
  }

  private answerRelayed(
    term: Term,
    sender: NodeId,
    epoch: number,
    relayed: RelayedHeartbeat,
  ): HeartbeatResponse {
    if (relayed.kind === 'full') {
      if (relayed.heartbeat.fencingToken > term.epoch) return REFUSED;
      const { reply, baseline } = term.handleRelayedHeartbeat(relayed.heartbeat, sender);
      return { outcome: 'accepted', baseline, commands: reply.commands };
    }
    if (relayed.fencingToken > term.epoch) return REFUSED;
    if (epoch !== term.epoch) return BASELINE_UNKNOWN;
    const reply = term.handleUnchangedHeartbeat(relayed, sender);
    if (!reply) return BASELINE_UNKNOWN;
    return { outcome: 'accepted', baseline: relayed.unchangedSince, commands: reply.commands };
  }

  /** The node through which a worker is to report; none if no other answers. */
  private followerFor(machine: string): NodeId | undefined {
    const nodes = this.leadership.responsivePeerIds();
    let hash = 0;
    for (let i = 0; i < machine.length; i++) hash = (hash * 31 + machine.charCodeAt(i)) >>> 0;
    return nodes[hash % Math.max(1, nodes.length)];
  }

  /**
   * Whether a worker that was redirected is back so soon that it can't reach where it was sent: then it
   * is served here for a while. Otherwise it counts as redirected now.
   */
  private isRedirectFailed(machine: string): boolean {
    const id = MachineId(machine);
    const now = this.clock.steady();
    const redirect = this.redirects.get(id);
    if (redirect && isServedHere(redirect, now)) {
      redirect.servedUntil ??= later(now, REDIRECT_SUPPRESSION_TIME);
      return true;
    }
    this.redirects.set(id, { at: now, servedUntil: undefined }, now);
    return false;
  }
}

const isServedHere = ({ at, servedUntil }: Redirect, now: SteadyMs): boolean =>
  servedUntil === undefined ? durationBetween(at, now) < BOUNCE_WINDOW : now < servedUntil;

const redirectTo = (node: NodeId): ApiResponse => ({ status: 421, body: encodeRedirect(node) });

const allRefused = (count: number): PeerResponse => ({
  type: 'heartbeatResponses',
  epoch: 0,
  responses: Array.from({ length: count }, () => REFUSED),
});

function parseHeartbeat(body: Buffer): Heartbeat | undefined {
  try {
    return decodeHeartbeat(decode(body));
  } catch {
    return undefined;
  }
}
