/**
 * Workers' reports: answered by the leader under its authority, passed on to it by the other nodes.
 * Only the leader causes a 200, since that renews the lease of all tasks on a machine.
 */
import type { Settings } from '../config/settings.js';
import type { Term } from '../leader/term.js';
import type { PeerResponse, RelayedHeartbeat, HeartbeatResponse } from '../peer/messages.js';
import type { HeartbeatRelay } from '../relay/heartbeat-relay.js';
import {
  MachineId,
  later,
  ms,
  seconds,
  since,
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
import type { Leadership } from './leadership.js';
import { NOT_AUTHORISED, type Reply } from './reply.js';

/** A leader that ended is known to have after about its lease: one that is silent for longer is cut off. */
const LEADER_CUT_OFF = seconds(5);
/**
 * So many relayed reports are taken in one go. A leader that has just taken over has hundreds of them to
 * take, by code that is not compiled yet, and must get to the renewal of its lease meanwhile.
 */
const HEARTBEATS_PER_TURN = 20;
/** What goes beyond these orders waits for another batch, so that the response fits a frame. */
const MAX_COMMANDS_PER_BATCH = 2000;
/** A worker that was redirected and is back this soon can't reach the node that it was sent to. */
const BOUNCE_WINDOW = seconds(9);
/** For so long such a worker is served here. */
const BOUNCED_SERVICE_TIME = seconds(20);
const REDIRECT_TTL = seconds(60);

interface Redirect {
  readonly at: SteadyMs;
  servedUntil: SteadyMs | undefined;
}

const REFUSED: HeartbeatResponse = { outcome: 'refused', baseline: 0, commands: [] };
const BASELINE_UNKNOWN: HeartbeatResponse = {
  outcome: 'baselineUnknown',
  baseline: 0,
  commands: [],
};

export class WorkerHeartbeats {
  private readonly redirects = new ExpiringMap<MachineId, Redirect>(REDIRECT_TTL);
  /** Since when the leader that we know of has not answered us. */
  private leaderSilentSince: SteadyMs | undefined;

  constructor(
    private readonly settings: Settings,
    private readonly leadership: Leadership,
    private readonly relay: HeartbeatRelay,
    private readonly clock: Clock,
    private readonly isIsolated: () => boolean,
  ) {}

  /** A report that came straight from its worker. */
  async handle(body: Buffer): Promise<Reply> {
    const report = parseHeartbeat(body);
    if (!report) return { status: 400, body: { error: 'not a report' } };
    const term = this.leadership.authorisedTerm();
    if (term) return this.answerHere(report, term);
    // The node that we take for the leader may be gone for long.
    if (this.isIsolated()) return NOT_AUTHORISED;
    const leader = this.leaderCutOff();
    // The worker may reach the leader where we don't.
    if (leader !== undefined && !this.isBounced(report.machine)) return redirectTo(leader);
    const reply = await this.relay.send(report, body.length);
    if (reply) return { status: 200, body: encodeHeartbeatReply(reply) };
    const own = this.leadership.authorisedTerm();
    return own ? this.answerHere(report, own) : NOT_AUTHORISED;
  }

  /** The leader, if it is another node that we have not reached for longer than a dead one would stand. */
  private leaderCutOff(): NodeId | undefined {
    const leader = this.leadership.leaderNode();
    if (leader === undefined || leader === this.settings.node || this.leadership.leaderPeer()) {
      this.leaderSilentSince = undefined;
      return undefined;
    }
    const now = this.clock.steady();
    this.leaderSilentSince ??= now;
    return since(this.leaderSilentSince, now) > LEADER_CUT_OFF ? leader : undefined;
  }

  private async answerHere(report: Heartbeat, term: Term): Promise<Reply> {
    // It has seen a newer token than ours: we have no right to act any more.
    if (report.fencingToken > term.epoch) return NOT_AUTHORISED;
    const follower = term.redirectsWorkers ? this.followerFor(report.machine) : undefined;
    if (follower !== undefined && !this.isBounced(report.machine)) return redirectTo(follower);
    if (!(await this.isRebuilt(term))) return NOT_AUTHORISED;
    const reply = term.handleHeartbeat(report);
    return this.leadership.authorisedTerm() === term
      ? { status: 200, body: encodeHeartbeatReply(reply) }
      : NOT_AUTHORISED;
  }

  /**
   * A 200 keeps all tasks of a worker alive: none before we know which of them are cancelled, or
   * leaders that end one after the other before they know would keep those beyond their time.
   */
  private async isRebuilt(term: Term): Promise<boolean> {
    if (!term.isReady) await term.rebuilt;
    return term.isReady && this.leadership.authorisedTerm() === term;
  }

  /** Reports that another node passed on. */
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
      const full = commandCount >= MAX_COMMANDS_PER_BATCH;
      const response = full ? REFUSED : this.takeRelayed(term, sender, epoch, relayed);
      commandCount += response.commands.length;
      responses.push(response);
    }
    // A 200 may follow from this response only if authority stands now that all of them are taken.
    if (this.leadership.authorisedTerm() !== term) return allRefused(heartbeats.length);
    return { type: 'heartbeatResponses', epoch: term.epoch, responses };
  }

  private takeRelayed(
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
    const nodes = this.leadership.responsivePeers();
    let hash = 0;
    for (let i = 0; i < machine.length; i++) hash = (hash * 31 + machine.charCodeAt(i)) >>> 0;
    return nodes[hash % Math.max(1, nodes.length)];
  }

  /**
   * Whether a worker that was redirected is back so soon that it can't reach where it was sent: then it
   * is served here for a while. Otherwise it counts as redirected now.
   */
  private isBounced(machine: string): boolean {
    const id = MachineId(machine);
    const now = this.clock.steady();
    const redirect = this.redirects.get(id);
    if (redirect && isServedHere(redirect, now)) {
      redirect.servedUntil ??= later(now, BOUNCED_SERVICE_TIME);
      return true;
    }
    this.redirects.set(id, { at: now, servedUntil: undefined }, now);
    return false;
  }
}

const isServedHere = ({ at, servedUntil }: Redirect, now: SteadyMs): boolean =>
  servedUntil === undefined ? since(at, now) < BOUNCE_WINDOW : now < servedUntil;

const redirectTo = (node: NodeId): Reply => ({ status: 421, body: encodeRedirect(node) });

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
