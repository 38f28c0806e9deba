import type { Logger } from 'pino';
import type { Settings } from '../config/settings.js';
import type { Catalog } from '../cloud/catalog.js';
import type { Held, StoreFront } from '../ledger/front.js';
import { statusOf, type Final, type Job } from '../ledger/job.js';
import type { Election } from '../leader/election.js';
import type { Answer, Term } from '../leader/term.js';
import type { Peer, PeerReply, PeerRequest } from '../peer/channel.js';
import {
  JobId,
  later,
  ms,
  since,
  seconds,
  sleep,
  type Clock,
  type DurationMs,
  type MachineId,
  type NodeId,
  type SteadyMs,
} from '../units/index.js';
import {
  Beat,
  JOB_ID,
  decode,
  encode,
  parseSubmission,
  submissionId,
  type JobStatus,
} from '../wire/index.js';

export interface Reply {
  readonly status: number;
  readonly body?: unknown;
  /** Seconds after which to come back. */
  readonly retryAfter?: number;
  /** The connection is given up: over a new one another node may be reached. */
  readonly close?: boolean;
}

/** What the node around the service knows and does. */
export interface Surroundings {
  /** The leader's hints for its successor came. */
  hints(body: Buffer): void;
  ping(body: Buffer): Buffer;
  /** Cut off from the state service and from every other node, while it may be the only one that is. */
  alone(): boolean;
  /** The leader wants workers to report through the other nodes. */
  spread(): boolean;
}

/** A node that gets no answer in time takes the job in itself, and the record settles it. */
const RELAY_SUBMIT = ms(600);
/** A node that could not write a submission for this long says so at once. */
const MOST_OWN_WAIT = ms(1000);
/** What the store said longer ago than this may not be the latest any more. */
const FRESH = ms(250);
const RELAY_READ = ms(800);
const RELAY_ABORT = ms(1500);
const RELAY_BEAT = ms(2500);
/** How long, and how often, a cancellation asked for through the store is looked for there. */
const ABORT_WATCH = ms(1500);
const ABORT_LOOK = ms(300);
/** The longest a user's request is worked on before it gets its final answer. */
const PATIENCE = ms(2500);
/** A worker that we sent to the leader and that is back this soon can't reach it. */
const BOUNCE = seconds(9);
const STAYS = seconds(20);
const MOST_REDIRECTED = 4000;

const later503: Reply = { status: 503, retryAfter: 1 };
const cutOff503: Reply = { status: 503, retryAfter: 1, close: true };
const notFound: Reply = { status: 404, body: { error: 'no such job' } };

interface Sent {
  readonly at: SteadyMs;
  stays: SteadyMs | undefined;
}

/**
 * What this node answers to users, workers and other nodes: by itself while it leads, otherwise
 * through the leader, otherwise from the store as far as that goes without one.
 */
export class Service {
  term: Term | undefined;
  private readonly redirected = new Map<MachineId, Sent>();
  private storeSeen = false;

  constructor(
    private readonly settings: Settings,
    private readonly election: Election,
    private readonly front: StoreFront,
    private readonly catalog: Catalog,
    private readonly peers: ReadonlyMap<NodeId, Peer>,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly around: Surroundings,
  ) {}

  /** The term under which we may answer at this moment. */
  private ruling(): Term | undefined {
    const epoch = this.election.authority();
    return epoch !== undefined && this.term?.epoch === epoch && !this.term.isClosed
      ? this.term
      : undefined;
  }

  private leader(): Peer | undefined {
    const node = this.election.leader();
    const peer = node === undefined ? undefined : this.peers.get(node);
    return peer?.responsive ? peer : undefined;
  }

  /**
   * Healthy once it has been in touch with the store or a leader. It stays so when the store is out
   * for all: a node that says "come back" at once serves users better than one taken off the balancer,
   * whose connections are reset and which is let back in only after a pause. One that is cut off alone
   * says so, since another node could serve the users that stay with it.
   */
  up(): Reply {
    this.storeSeen ||= this.election.leader() !== undefined;
    if (!this.storeSeen) return later503;
    if (this.around.alone()) return cutOff503;
    return { status: 200, body: { node: this.settings.node } };
  }

  async user(method: string, path: string, body: Buffer): Promise<Reply> {
    if (this.around.alone()) return cutOff503;
    const id = /^\/v1\/jobs\/([^/]+)$/.exec(path)?.[1];
    const abort = /^\/v1\/jobs\/([^/]+)\/abort$/.exec(path)?.[1];
    if (path === '/v1/jobs') {
      return method === 'POST' ? this.submit(body) : { status: 405 };
    }
    if (id !== undefined) {
      return method === 'GET' ? this.read(id) : { status: 405 };
    }
    if (abort !== undefined) {
      return method === 'POST' ? this.abort(abort) : { status: 405 };
    }
    return { status: 404, body: { error: 'no such path' } };
  }

  /** Whatever is still being worked on after a while gets its answer: come back. */
  private patient(work: Promise<Reply>): Promise<Reply> {
    return new Promise((resolve) => {
      const timer = this.clock.after(PATIENCE, () => resolve(later503));
      work.then(
        (reply) => {
          timer.cancel();
          resolve(reply);
        },
        (e: unknown) => {
          timer.cancel();
          this.log.error({ err: e }, 'request failed');
          resolve(later503);
        },
      );
    });
  }

  private async relay(request: PeerRequest, timeout: DurationMs): Promise<Reply | undefined> {
    const reply = await this.leader()?.ask(request, timeout);
    // A 503 of the node we took for the leader says no more than that it is not ready.
    if (!reply || reply.status === 503) return undefined;
    return {
      status: reply.status,
      ...(reply.body.length > 0 ? { body: decode(reply.body) } : {}),
      ...(reply.retryAfter > 0 ? { retryAfter: reply.retryAfter } : {}),
    };
  }

  // --- users ------------------------------------------------------------------------------------

  private submit(body: Buffer): Promise<Reply> {
    return this.patient(this.submitNow(body, true));
  }

  private async submitNow(body: Buffer, relay: boolean): Promise<Reply> {
    const parsed = parseSubmission(body);
    const verdict = parsed.ok ? this.catalog.judge(parsed.value, this.settings.teams) : undefined;
    if (!parsed.ok || typeof verdict === 'object') {
      // A repeat of a job that was accepted is answered with its state, whatever it says now.
      const id = submissionId(body);
      if (id !== undefined) {
        const known = await this.readNow(id, relay);
        if (known.status !== 404) return known;
      }
      return parsed.ok
        ? { status: 422, body: { error: typeof verdict === 'object' ? verdict.never : '' } }
        : { status: 400, body: { error: parsed.why } };
    }
    const term = this.ruling();
    if (term?.isReady) {
      if (verdict === 'unsure') return this.readKnownOr503(term, parsed.value.name_id);
      const answer = await term.submit(parsed.value);
      if (answer.kind === 'created') {
        return { status: 201, body: { name_id: parsed.value.name_id, status: 'pending' } };
      }
      if (answer.kind === 'busy') {
        return { status: 429, retryAfter: Math.max(1, Math.ceil(answer.after / 1000)) };
      }
      return this.answer(parsed.value.name_id, answer, later503, term);
    }
    if (relay && !term) {
      const told = await this.relay(
        { kind: 'user', method: 'POST', path: '/v1/jobs', body },
        RELAY_SUBMIT,
      );
      if (told) return told;
    }
    if (verdict === 'unsure') return later503;
    // No leader can be reached: the record is made by this node, if there is none.
    const wait = this.front.createWait();
    if (wait > MOST_OWN_WAIT) return { status: 429, retryAfter: Math.ceil(wait / 1000) };
    const asked = this.clock.steady();
    const made = await this.front.create(parsed.value);
    if (made === 'created') {
      this.notify(parsed.value.name_id);
      // The store's word came late: the user may have been told since that the job is cancelled.
      if (since(asked, this.clock.steady()) > FRESH)
        return this.readNow(parsed.value.name_id, relay);
      return { status: 201, body: { name_id: parsed.value.name_id, status: 'pending' } };
    }
    if (made === 'exists') {
      const known = await this.readNow(parsed.value.name_id, relay);
      return known.status === 404 ? later503 : known;
    }
    return later503;
  }

  private async readKnownOr503(term: Term, id: string): Promise<Reply> {
    return this.answer(id, await term.find(JobId(id)), later503, term);
  }

  /** Tells the leader of a job that we took in, as a courtesy: it also watches the notices. */
  private notify(id: string): void {
    const term = this.ruling();
    if (term) {
      if (term.isReady) void term.find(JobId(id)).catch(() => undefined);
      return;
    }
    void this.leader()
      ?.ask({ kind: 'notice', method: '', path: id, body: Buffer.alloc(0) }, RELAY_READ)
      .catch(() => undefined);
  }

  private read(id: string): Promise<Reply> {
    return this.patient(this.readNow(id, true));
  }

  private async readNow(id: string, relay: boolean): Promise<Reply> {
    if (!JOB_ID.test(id)) return notFound;
    const term = this.ruling();
    if (term?.isReady) return this.answer(id, await term.find(JobId(id)), notFound, term);
    if (relay && !term) {
      const told = await this.relay(
        { kind: 'user', method: 'GET', path: `/v1/jobs/${id}`, body: Buffer.alloc(0) },
        RELAY_READ,
      );
      if (told) return told;
    }
    return this.held(id, await this.front.lookup(JobId(id)));
  }

  private abort(id: string): Promise<Reply> {
    return this.patient(this.abortNow(id, true));
  }

  private async abortNow(id: string, relay: boolean): Promise<Reply> {
    if (!JOB_ID.test(id)) return notFound;
    const term = this.ruling();
    if (term?.isReady) return this.answer(id, await term.abort(JobId(id)), notFound, term);
    if (relay && !term) {
      const told = await this.relay(
        { kind: 'user', method: 'POST', path: `/v1/jobs/${id}/abort`, body: Buffer.alloc(0) },
        RELAY_ABORT,
      );
      if (told) return told;
    }
    const held = await this.front.abort(JobId(id));
    if (held.kind !== 'unsure') return this.held(id, held);
    // There is a leader that we can't reach: it is asked through the store, where it will be answered.
    if (!relay || !(await this.front.requestAbort(JobId(id)))) return later503;
    const until = later(this.clock.steady(), ABORT_WATCH);
    while (this.clock.steady() < until) {
      await sleep(this.clock, ABORT_LOOK);
      const now = await this.front.lookup(JobId(id));
      if (now.kind === 'final' || (now.kind === 'live' && now.job.aborted))
        return this.held(id, now);
    }
    return later503;
  }

  private held(id: string, held: Held): Reply {
    switch (held.kind) {
      case 'live':
        return { status: 200, body: this.jobBody(held.job) };
      case 'final':
        return { status: 200, body: this.finalBody(id, held.final) };
      case 'absent':
        return notFound;
      case 'unsure':
        return later503;
    }
  }

  private answer(id: string, answer: Answer, absent: Reply, term: Term): Reply {
    // While we waited, or stood still, another may have come to lead and told users more than we know.
    if (answer.kind !== 'final' && this.ruling() !== term) return later503;
    switch (answer.kind) {
      case 'job':
        // Not committed yet: nobody may be told of it.
        return answer.job.revision > 0 ? { status: 200, body: this.jobBody(answer.job) } : later503;
      case 'final':
        return { status: 200, body: this.finalBody(id, answer.final) };
      case 'absent':
        return absent;
      case 'unsure':
        return later503;
    }
  }

  private jobBody(job: Job): Record<string, unknown> {
    // Only what is committed is shown; a cancellation that a follower wrote is.
    const status: JobStatus = statusOf(
      { ...job.shown, aborted: job.shown.aborted || (job.aborted && job.committed >= job.version) },
      job.spec.entries,
    );
    return {
      name_id: job.id,
      status,
      done: job.shown.done,
      running: status === 'aborted' ? 0 : job.shown.running,
      desk: job.spec.desk,
    };
  }

  private finalBody(id: string, final: Final): Record<string, unknown> {
    return {
      name_id: id,
      status: final.status,
      done: final.done,
      running: 0,
      desk: final.desk,
      cause: final.cause,
    };
  }

  // --- workers ----------------------------------------------------------------------------------

  async beat(body: Buffer, relayed = false): Promise<Reply> {
    let value: unknown;
    try {
      value = decode(body);
    } catch {
      return { status: 400, body: { error: 'not CBOR' } };
    }
    const parsed = Beat.safeParse(value);
    if (!parsed.success) return { status: 400, body: { error: 'not a report' } };
    const term = this.ruling();
    if (term) {
      // It has seen a newer token than ours: we have no right to act any more.
      if (parsed.data.baton > term.epoch) return { status: 503 };
      const other = relayed || !term.spreads ? undefined : this.carrier(parsed.data.box);
      if (other !== undefined && !this.isBack(parsed.data.box as MachineId)) {
        return { status: 421, body: { clerk: other } };
      }
      // A 200 keeps all tasks of the worker alive: none before we know which of them are cancelled, or
      // leaders that end one after the other before they know would keep those beyond their time.
      if (!term.isReady) {
        await term.rebuilt;
        if (!term.isReady || this.ruling() !== term) return { status: 503 };
      }
      const reply = term.beat(parsed.data);
      return this.ruling() === term ? { status: 200, body: reply } : { status: 503 };
    }
    const node = this.election.leader();
    if (relayed || node === undefined || node === this.settings.node) return { status: 503 };
    // Whom we take for the leader may be gone for long.
    if (this.around.alone()) return { status: 503 };
    return this.sendOn(parsed.data.box as MachineId, node, body);
  }

  /** The node through which a worker reports to us; none if no other answers. */
  private carrier(box: string): NodeId | undefined {
    const nodes = [...this.peers].filter(([, p]) => p.responsive).map(([n]) => n);
    let sum = 0;
    for (let i = 0; i < box.length; i++) sum = (sum * 31 + box.charCodeAt(i)) >>> 0;
    return nodes[sum % Math.max(1, nodes.length)];
  }

  /**
   * Whether a worker that was sent on is back so soon that it can't reach where it was sent: then it
   * stays with us for a while. If it is not, it is sent on now.
   */
  private isBack(id: MachineId): boolean {
    const now = this.clock.steady();
    const sent = this.redirected.get(id);
    if (
      sent !== undefined &&
      (sent.stays === undefined ? since(sent.at, now) < BOUNCE : now < sent.stays)
    ) {
      sent.stays ??= later(now, STAYS);
      return true;
    }
    this.redirected.set(id, { at: now, stays: undefined });
    if (this.redirected.size > MOST_REDIRECTED) {
      for (const [key, s] of this.redirected) {
        if (since(s.at, now) > seconds(60)) this.redirected.delete(key);
      }
    }
    return false;
  }

  /**
   * A worker is sent to the leader; one that can't reach it, or that the leader wants to report through
   * the other nodes, is heard through this node.
   */
  private async sendOn(id: MachineId, node: NodeId, body: Buffer): Promise<Reply> {
    const carried = this.around.spread() && this.leader() !== undefined;
    if (carried || this.isBack(id)) {
      const told = await this.leader()?.ask(
        { kind: 'beat', method: 'POST', path: '', body },
        RELAY_BEAT,
      );
      if (!told) return { status: 503 };
      return { status: told.status, ...(told.body.length > 0 ? { body: decode(told.body) } : {}) };
    }
    return { status: 421, body: { clerk: node } };
  }

  // --- other nodes ------------------------------------------------------------------------------

  async peer(request: PeerRequest): Promise<PeerReply> {
    let reply: Reply;
    switch (request.kind) {
      case 'ping':
        return { status: 200, retryAfter: 0, body: this.around.ping(request.body) };
      case 'hints':
        this.around.hints(request.body);
        reply = { status: 200 };
        break;
      case 'notice': {
        const term = this.ruling();
        if (term?.isReady) await term.find(JobId(request.path));
        reply = { status: term?.isReady ? 200 : 503 };
        break;
      }
      case 'beat':
        reply = this.ruling() ? await this.beat(request.body, true) : { status: 503 };
        break;
      case 'user':
        // Answered under our own authority or not at all: no relaying in circles.
        reply = this.ruling()?.isReady
          ? await this.patient(this.relayedUser(request))
          : { status: 503 };
    }
    return {
      status: reply.status,
      retryAfter: reply.retryAfter ?? 0,
      body: reply.body === undefined ? Buffer.alloc(0) : encode(reply.body),
    };
  }

  private relayedUser(request: PeerRequest): Promise<Reply> {
    const { path } = request;
    if (path === '/v1/jobs') return this.submitNow(request.body, false);
    const id = path.split('/')[3] ?? '';
    return request.method === 'GET' ? this.readNow(id, false) : this.abortNow(id, false);
  }
}
