/**
 * Handles workers' heartbeats: the leader responds under its authority, the followers relay to the leader.
 * Only the leader may cause a 200, since a 200 renews the lease of all tasks on a machine.
 */
import { Mutex } from 'async-mutex';
import type { Term } from '../leader/term.js';
import type {
  FencedHeartbeatResponse,
  PeerResponse,
  RelayedHeartbeat,
  WorkerHeartbeatsRequest,
} from '../peer/messages.js';
import { BATCH_TIMEOUT, type HeartbeatRelay } from '../relay/heartbeat-relay.js';
import {
  MachineId,
  addDuration,
  ms,
  seconds,
  durationBetween,
  type Clock,
  type ControllerId,
  type SteadyMs,
} from '../units/index.js';
import { ExpiringMap } from '../units/expiring-map.js';
import {
  decode,
  decodeHeartbeat,
  encodeWorkerHeartbeatResponse,
  encodeRedirect,
  type Heartbeat,
} from '../wire/index.js';
import type { LeaderView } from './leader-view.js';
import { INVALID_HEARTBEAT, CANNOT_HANDLE_HEARTBEAT, type ApiResponse } from './api-response.js';

/**
 * A failed leader is replaced after about the duration of its lease. If the leader key still names a leader that
 * has not responded for longer than this, it still leads and only this controller can't reach it.
 */
const LEADER_UNREACHABLE_AFTER = seconds(5);
/**
 * Relayed heartbeats are handled in one turn of the event loop for at least this number and this time. A new leader has
 * hundreds of them to handle, with code that the JIT has not compiled yet, and must be able to renew its lease in
 * between; but each turn of a busy event loop takes long.
 */
const MIN_HEARTBEATS_PER_TURN = 20;
const MIN_TIME_PER_TURN = ms(40);
/**
 * Once the response to a batch holds this many commands, the remaining heartbeats are refused and wait for another
 * batch, so that the response fits a frame.
 */
const MAX_COMMANDS_PER_BATCH = 2000;
/** A batch that has waited for longer would get its responses only after its follower has given up. */
const MAX_BATCH_WAIT = ms(0.6 * BATCH_TIMEOUT);
/** A redirected worker that returns within this time can't reach the controller it was sent to. */
const FAILED_REDIRECT_WINDOW = seconds(9);
/** How long such a worker is served here instead of being redirected again. */
const REDIRECT_SUPPRESSION_TIME = seconds(20);
/** A redirect is forgotten after this time. */
const REDIRECT_TTL = seconds(60);

/** The redirect of a worker to another controller. */
interface Redirect {
  readonly redirectedAt: SteadyMs;
  /** Until when the worker is served here; set once it returned within `FAILED_REDIRECT_WINDOW`. */
  servedLocallyUntil: SteadyMs | undefined;
}

/** One turn of the event loop in which relayed heartbeats are handled. */
interface Turn {
  readonly startedAt: SteadyMs;
  /** How many heartbeats were handled in it. */
  handledCount: number;
}

const REFUSED: FencedHeartbeatResponse = {
  outcome: 'refused',
  baseline: 0,
  commands: [],
  fencingToken: 0,
};
const BASELINE_UNKNOWN: FencedHeartbeatResponse = { ...REFUSED, outcome: 'baselineUnknown' };

/** The parts of the controller that handling heartbeats depends on. */
export interface WorkerHeartbeatDependencies {
  /** The id of this controller. */
  readonly controllerId: ControllerId;
  readonly leaderView: LeaderView;
  readonly relay: HeartbeatRelay;
  readonly clock: Clock;
  /** Whether this controller alone is cut off from the store and its peers. */
  readonly isIsolated: () => boolean;
}

/** Handles workers' heartbeats, both direct ones and those that a peer relays. */
export class WorkerHeartbeatHandler {
  /** Held by the batch that is being handled: others wait in the order of arrival. */
  private readonly batchLock = new Mutex();
  /** The turn of the event loop in which a heartbeat was handled last; undefined once it has ended. */
  private turn: Turn | undefined;
  private readonly redirects = new ExpiringMap<MachineId, Redirect>(REDIRECT_TTL);
  /** Since when the known leader has been unresponsive. */
  private leaderUnreachableSince: SteadyMs | undefined;
  private readonly leaderView: LeaderView;
  private readonly clock: Clock;

  constructor(private readonly deps: WorkerHeartbeatDependencies) {
    this.leaderView = deps.leaderView;
    this.clock = deps.clock;
  }

  /** Handles a heartbeat that a worker sent to this controller. */
  async handle(body: Buffer): Promise<ApiResponse> {
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) return INVALID_HEARTBEAT;
    const term = this.leaderView.authorisedTerm();
    if (term) return this.respondAsLeader(heartbeat, term);
    // The controller that this one takes for the leader may have ended long ago.
    if (this.deps.isIsolated()) return CANNOT_HANDLE_HEARTBEAT;
    const leader = this.unreachableLeader();
    // The worker may be able to reach the leader even though this controller can't.
    if (leader !== undefined && !this.hasRedirectFailed(heartbeat.machine))
      return redirectTo(leader);
    const response = await this.deps.relay.send(heartbeat, body.length);
    if (response) return { status: 200, body: encodeWorkerHeartbeatResponse(response) };
    // This controller may have become the leader while it waited for a response.
    const ownTerm = this.leaderView.authorisedTerm();
    return ownTerm ? this.respondAsLeader(heartbeat, ownTerm) : CANNOT_HANDLE_HEARTBEAT;
  }

  /** The leader, if it is a peer that has been unresponsive for longer than a failover takes. */
  private unreachableLeader(): ControllerId | undefined {
    const leader = this.leaderView.leaderId();
    if (leader === undefined || leader === this.deps.controllerId || this.leaderView.leaderPeer()) {
      this.leaderUnreachableSince = undefined;
      return undefined;
    }
    const now = this.clock.steady();
    this.leaderUnreachableSince ??= now;
    return durationBetween(this.leaderUnreachableSince, now) > LEADER_UNREACHABLE_AFTER
      ? leader
      : undefined;
  }

  private async respondAsLeader(heartbeat: Heartbeat, term: Term): Promise<ApiResponse> {
    // The worker has seen a newer fencing token, so this term has been superseded.
    if (heartbeat.fencingToken > term.highestFencingToken) return CANNOT_HANDLE_HEARTBEAT;
    const follower = term.isRedirectingWorkers
      ? this.redirectTargetFor(heartbeat.machine)
      : undefined;
    if (follower !== undefined && !this.hasRedirectFailed(heartbeat.machine))
      return redirectTo(follower);
    if (!(await this.waitUntilReady(term))) return CANNOT_HANDLE_HEARTBEAT;
    const response = term.handleHeartbeat(heartbeat);
    return this.leaderView.authorisedTerm() === term
      ? { status: 200, body: encodeWorkerHeartbeatResponse(response) }
      : CANNOT_HANDLE_HEARTBEAT;
  }

  /**
   * Waits until the term has read the records, and returns whether it may respond. A 200 keeps all tasks of a
   * worker alive, so it requires knowing which of them are cancelled. Otherwise a series of leaders that each
   * end before they know would keep cancelled tasks running past their deadline.
   */
  private async waitUntilReady(term: Term): Promise<boolean> {
    if (!term.isReady) await term.recoveryOrTimeout;
    return term.isReady && this.leaderView.authorisedTerm() === term;
  }

  /** Handles heartbeats that a peer relayed and returns one response for each, in the same order. */
  async handleRelayed(request: WorkerHeartbeatsRequest): Promise<PeerResponse> {
    const arrivedAt = this.clock.steady();
    const term = this.leaderView.authorisedTerm();
    if (!term || !(await this.waitUntilReady(term))) return allRefused(request.heartbeats.length);
    return this.batchLock.runExclusive(() => {
      const waitTime = durationBetween(arrivedAt, this.clock.steady());
      if (waitTime > MAX_BATCH_WAIT) return allRefused(request.heartbeats.length);
      return this.handleBatch(term, request);
    });
  }

  private async handleBatch(term: Term, request: WorkerHeartbeatsRequest): Promise<PeerResponse> {
    const { heartbeats } = request;
    if (this.leaderView.authorisedTerm() !== term) return allRefused(heartbeats.length);
    const responses: FencedHeartbeatResponse[] = [];
    let commandCount = 0;
    for (const relayed of heartbeats) {
      if (this.isTurnOver()) {
        await this.nextTurn();
        if (this.leaderView.authorisedTerm() !== term) return allRefused(heartbeats.length);
      }
      this.currentTurn().handledCount++;
      const isFull = commandCount >= MAX_COMMANDS_PER_BATCH;
      const response = isFull ? REFUSED : this.respondToRelayed(term, request, relayed);
      commandCount += response.commands.length;
      responses.push(response);
    }
    // These responses may lead to a 200 only if the term still has authority after all heartbeats are handled.
    if (this.leaderView.authorisedTerm() !== term) return allRefused(heartbeats.length);
    return request.readsFencingTokens
      ? { type: 'fencedHeartbeatResponses', epoch: term.epoch, responses }
      : withCommonToken(term, heartbeats, responses);
  }

  /** The time of a turn is for all batches together. */
  private currentTurn(): Turn {
    if (this.turn) return this.turn;
    this.turn = { startedAt: this.clock.steady(), handledCount: 0 };
    this.clock.nextTurn(() => (this.turn = undefined));
    return this.turn;
  }

  private isTurnOver(): boolean {
    const { turn } = this;
    return (
      turn !== undefined &&
      turn.handledCount >= MIN_HEARTBEATS_PER_TURN &&
      durationBetween(turn.startedAt, this.clock.steady()) >= MIN_TIME_PER_TURN
    );
  }

  private nextTurn(): Promise<void> {
    return new Promise((resolve) => this.clock.nextTurn(resolve));
  }

  private respondToRelayed(
    term: Term,
    { node: sender, epoch }: WorkerHeartbeatsRequest,
    relayed: RelayedHeartbeat,
  ): FencedHeartbeatResponse {
    const { fencingToken } = relayed.kind === 'full' ? relayed.heartbeat : relayed;
    if (fencingToken > term.highestFencingToken) return REFUSED;
    if (relayed.kind === 'full') {
      const { response, baseline } = term.handleRelayedHeartbeat(relayed.heartbeat, sender);
      return { outcome: 'accepted', baseline, ...response };
    }
    // A follower of an earlier version takes the token of a batch for the epoch, and the tokens of a term are its own.
    if (epoch < term.epoch || epoch > term.highestFencingToken) return BASELINE_UNKNOWN;
    const response = term.handleUnchangedHeartbeat(relayed, sender);
    if (!response) return BASELINE_UNKNOWN;
    return { outcome: 'accepted', baseline: relayed.unchangedSince, ...response };
  }

  /** The follower that a worker is redirected to; undefined if no peer is responsive. */
  private redirectTargetFor(machine: string): ControllerId | undefined {
    const peerIds = this.leaderView.responsivePeerIds();
    let hash = 0;
    for (let i = 0; i < machine.length; i++) hash = (hash * 31 + machine.charCodeAt(i)) >>> 0;
    return peerIds[hash % Math.max(1, peerIds.length)];
  }

  /**
   * Whether a redirected worker returned so soon that it can't have reached its target; it is then served here
   * for a while. Otherwise the worker is recorded as redirected now.
   */
  private hasRedirectFailed(machine: string): boolean {
    const id = MachineId(machine);
    const now = this.clock.steady();
    const redirect = this.redirects.get(id);
    if (redirect && isServedLocally(redirect, now)) {
      redirect.servedLocallyUntil ??= addDuration(now, REDIRECT_SUPPRESSION_TIME);
      return true;
    }
    this.redirects.set(id, { redirectedAt: now, servedLocallyUntil: undefined }, now);
    return false;
  }
}

const isServedLocally = ({ redirectedAt, servedLocallyUntil }: Redirect, now: SteadyMs): boolean =>
  servedLocallyUntil === undefined
    ? durationBetween(redirectedAt, now) < FAILED_REDIRECT_WINDOW
    : now < servedLocallyUntil;

const redirectTo = (controllerId: ControllerId): ApiResponse => ({
  status: 421,
  body: encodeRedirect(controllerId),
});

const allRefused = (count: number): PeerResponse => ({
  type: 'heartbeatResponses',
  epoch: 0,
  responses: Array.from({ length: count }, () => REFUSED),
});

/**
 * The responses for a follower that reads only one token for the whole batch. It is the highest one, since a worker drops
 * a response with a lower token than it has seen.
 */
function withCommonToken(
  term: Term,
  heartbeats: readonly RelayedHeartbeat[],
  responses: readonly FencedHeartbeatResponse[],
): PeerResponse {
  const tokens = responses.map(({ fencingToken }) => fencingToken);
  const epoch = Math.max(term.epoch, ...tokens);
  for (const [i, relayed] of heartbeats.entries()) {
    if (responses[i]?.outcome !== 'accepted') continue;
    const { machine } = relayed.kind === 'full' ? relayed.heartbeat : relayed;
    term.recordFencingTokenSent(machine, epoch);
  }
  return { type: 'heartbeatResponses', epoch, responses };
}

function parseHeartbeat(body: Buffer): Heartbeat | undefined {
  try {
    return decodeHeartbeat(decode(body));
  } catch {
    return undefined;
  }
}
