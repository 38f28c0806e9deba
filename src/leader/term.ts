import type { Logger } from 'pino';
import type { OperatorSettings } from '../config/operator.js';
import type { Settings } from '../config/settings.js';
import type { CloudClient } from '../cloud/client.js';
import type { HttpClient } from '../net/http.js';
import type { StoreClient } from '../store/client.js';
import { Ledger } from '../ledger/ledger.js';
import type { StoreFront } from '../ledger/front.js';
import { LIVE_PREFIX, decodeJob, openTaskLimit } from '../ledger/codec.js';
import { Job, Press, type Final, type Placement } from '../ledger/job.js';
import {
  Machine,
  attemptKey,
  leaseEnd,
  provenAbsent,
  toReport,
  type Report,
} from '../fleet/machine.js';
import { allows, place as placeTasks, type Host, type Size, type Want } from '../placer/placer.js';
import { CapacityKeeper } from '../capacity/keeper.js';
import {
  Endpoint,
  JobId,
  MachineId,
  later,
  ms,
  parseTaskKey,
  seconds,
  since,
  sleep,
  taskKey,
  type Clock,
  type DurationMs,
  type Epoch,
  type Random,
  type SteadyMs,
  type TaskKey,
  type Timer,
} from '../units/index.js';
import { Beat, type BeatReply, type Entry, type JobSpec, type Order } from '../wire/index.js';
import { UrgentWork } from './urgent.js';
import type { Catalog } from '../cloud/catalog.js';
import { compare, placeInQueue, rankOf } from '../ledger/queue.js';

const TICK = ms(500);
const HINTS_EVERY = seconds(4);
const COMMAND_TIMEOUT = ms(2500);
/** After an unanswered command a machine gets its orders by report for a while. */
const DIRECT_PAUSE = seconds(8);
const STORE_TIMEOUT = ms(2000);
/** The most tasks that one placing round commits, so that no transaction grows too large. */
const MOST_PER_ROUND = 400;
/** A job that fails on this many machines is probably at fault itself. */
const FAULTY_MACHINES = 3;
const FAULT_HOLD = seconds(15);
const MAX_HOLD = seconds(240);
const FULL_HOLD = seconds(2);
/** Work that may be lost to make room for an urgent task, and how many are stopped at a time. */
const MOST_LOST = seconds(8);
const MOST_EVICTED = 8;
/** Orders that fit a response to a worker with room to spare. */
const MAX_ORDERS = 300;
/** A submission that would wait longer for its turn to be written is refused at once. */
const MOST_INTAKE_WAIT = ms(1000);

/** By machine: its images and their sizes, least lately used first. Worth time, never correctness. */
export type Hints = Record<string, [image: string, gb: number][]>;

export interface TermDeps {
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly store: StoreClient;
  readonly front: StoreFront;
  readonly cloud: CloudClient;
  readonly http: HttpClient;
  readonly catalog: Catalog;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** The epoch if we may act under it at this moment. */
  readonly authority: () => Epoch | undefined;
  readonly deposed: (epoch: Epoch) => void;
  /** The images on machines as the leader before told them; and how to tell the other nodes. */
  readonly hints: Hints;
  readonly tellHints: (hints: Hints) => void;
}

export type Answer =
  | { kind: 'job'; job: Job }
  | { kind: 'final'; final: Final }
  | { kind: 'absent' }
  | { kind: 'unsure' };

const sizeOfSpec = (s: JobSpec): Size => ({ cpus: s.vcpus, gpus: s.gpus, ramGb: s.ram_gb });

/** What the leader does under one epoch: rebuild, take reports, place, order, settle. */
export class Term {
  readonly ledger: Ledger;
  readonly machines = new Map<MachineId, Machine>();
  readonly capacity: CapacityKeeper;
  /** Machines that are gone for certain, so that late reports and old lists do not revive them. */
  private readonly gone = new Map<MachineId, SteadyMs>();
  /** Attempts on machines that no placement accounts for: they must be gone before the task starts again. */
  private readonly strays = new Map<TaskKey, Set<MachineId>>();
  private readonly began: SteadyMs;
  /** What the images on machines were thought to be by the leader before. */
  private hintsSent: SteadyMs;
  private ready = false;
  private ruled = true;
  private listening: SteadyMs;
  private closed = false;
  private placing = false;
  private ticker: Timer | undefined;
  private readonly urgent = new UrgentWork();
  private readonly pushes = new Set<Machine>();
  private pushing = false;

  constructor(
    readonly epoch: Epoch,
    private readonly deps: TermDeps,
  ) {
    this.began = deps.clock.steady();
    this.listening = this.began;
    this.hintsSent = this.began;
    this.ledger = new Ledger(
      deps.store,
      epoch,
      deps.settings.state.txnOps,
      deps.clock,
      deps.random,
      deps.log,
      {
        committed: (job) => this.onCommitted(job),
        adopted: (job) => this.onAdopted(job),
        dropped: (job) => this.onDropped(job),
        finished: (job, final) => {
          deps.log.info({ job: job.id, desk: final.desk, status: final.status }, 'job over');
        },
        deposed: () => deps.deposed(epoch),
      },
    );
    this.capacity = new CapacityKeeper(this, deps.cloud, deps.catalog, epoch, {
      settings: deps.settings,
      operator: deps.operator,
      clock: deps.clock,
      random: deps.random,
      log: deps.log,
    });
  }

  get isReady(): boolean {
    return this.ready;
  }

  get listeningSince(): SteadyMs {
    return this.listening;
  }

  close(): void {
    this.closed = true;
    this.ticker?.cancel();
    this.ledger.close();
  }

  get isClosed(): boolean {
    return this.closed;
  }

  async start(): Promise<void> {
    for (;;) {
      if (this.closed) return;
      const listed = await this.deps.store.list(LIVE_PREFIX, STORE_TIMEOUT);
      if (this.closed) return;
      if (!listed) {
        await sleep(this.deps.clock, ms(300));
        continue;
      }
      const now = this.deps.clock.steady();
      for (const item of listed.items) {
        const id = JobId(item.key.slice(LIVE_PREFIX.length));
        try {
          this.admit(decodeJob(id, item.data, item.stamp, now));
        } catch (e) {
          this.deps.log.error({ job: id, err: e }, 'unreadable record; the job waits for repair');
        }
      }
      break;
    }
    this.ready = true;
    this.deps.log.info(
      { epoch: this.epoch, jobs: this.ledger.jobs.size, machines: this.machines.size },
      'rebuilt from the records',
    );
    void this.watchNotices();
    this.tick();
  }

  private tick(): void {
    if (this.closed) return;
    try {
      // While authority has lapsed nobody is heard, and nothing follows from that.
      const ruling = this.deps.authority() === this.epoch;
      if (ruling && !this.ruled) this.listening = this.deps.clock.steady();
      this.ruled = ruling;
      this.expire();
      if (ruling) {
        this.sendHints();
        this.place();
        this.capacity.tick();
      }
      this.ledger.kick();
    } catch (e) {
      this.deps.log.error({ err: e }, 'tick failed');
    }
    this.ticker = this.deps.clock.after(TICK, () => this.tick());
  }

  /** The other nodes get to know what only this leader remembers, in case one takes over. */
  private sendHints(): void {
    const now = this.deps.clock.steady();
    if (since(this.hintsSent, now) < HINTS_EVERY) return;
    this.hintsSent = now;
    const images: Hints = {};
    for (const m of this.machines.values()) if (m.up) images[m.id] = m.images.list();
    this.deps.tellHints(images);
  }

  // --- jobs -------------------------------------------------------------------------------------

  /** Takes a job that the store holds into the ledger, and its placements onto their machines. */
  private admit(job: Job): void {
    this.ledger.insert(job);
    this.urgent.note(job.spec, this.deps.clock.steady());
    for (const [index, p] of job.placed) this.assign(job, index, p);
    if (job.settled) job.touch(Press.finish);
  }

  private assign(job: Job, index: number, p: Placement): void {
    let m = this.machines.get(p.machine);
    if (!m) {
      m = new Machine(
        p.machine,
        { build: '', hall: '', spot: true },
        0,
        leaseEnd(this.began, this.deps.settings.workers.lease),
      );
      this.machines.set(p.machine, m);
    }
    m.assigned.set(taskKey(job.id, index), { job: job.id, index, attempt: p.attempt });
    m.idleSince = undefined;
  }

  private release(job: Job, index: number): void {
    const p = job.placed.get(index);
    if (!p) return;
    const m = this.machines.get(p.machine);
    if (m?.assigned.get(taskKey(job.id, index))?.attempt === p.attempt) {
      m.assigned.delete(taskKey(job.id, index));
    }
  }

  /** Proof was found that the task is on no machine. */
  private unplace(job: Job, index: number, why: string): void {
    const p = job.placed.get(index);
    if (!p) return;
    this.deps.log.debug({ job: job.id, index, machine: p.machine, why }, 'task is free again');
    this.release(job, index);
    job.unplace(index);
    this.ledger.kick();
  }

  private onCommitted(job: Job): void {
    for (const p of job.placed.values()) {
      if (!p.seen && !p.pushed && p.version <= job.committed) this.push(p.machine);
    }
    this.place();
  }

  private onAdopted(job: Job): void {
    for (const m of this.machines.values()) {
      for (const [key, a] of m.assigned) if (a.job === job.id) m.assigned.delete(key);
    }
    for (const [index, p] of job.placed) this.assign(job, index, p);
    this.place();
  }

  /** A submission came to nothing: what was placed of it along the way was never sent. */
  private onDropped(job: Job): void {
    for (const index of job.placed.keys()) this.release(job, index);
    this.place();
  }

  async submit(
    spec: JobSpec,
  ): Promise<Answer | { kind: 'created' } | { kind: 'busy'; after: DurationMs }> {
    const id = JobId(spec.name_id);
    const known = this.known(id);
    if (known) {
      if (known.kind === 'job' && known.job.revision === 0) {
        await this.ledger.written(known.job);
        return this.known(id) ?? { kind: 'unsure' };
      }
      return known;
    }
    // What can't be written soon is refused at once: whoever asks is told when to come back.
    const wait = this.ledger.intakeWait();
    if (wait > MOST_INTAKE_WAIT) return { kind: 'busy', after: wait };
    const job = new Job(id, spec, this.deps.clock.wall(), 0 as never);
    job.touch(Press.intake);
    this.ledger.insert(job);
    this.urgent.note(spec, this.deps.clock.steady());
    // What finds room now is placed in the same transaction that takes the job in.
    this.placeNow();
    const ok = await this.ledger.written(job);
    const now = this.known(id);
    if (now?.kind === 'final') return now;
    if (now?.kind === 'job' && now.job.revision > 0) {
      return ok && now.job === job ? { kind: 'created' } : now;
    }
    return { kind: 'unsure' };
  }

  private known(id: JobId): Answer | undefined {
    const job = this.ledger.jobs.get(id);
    if (job) return { kind: 'job', job };
    const final = this.ledger.final(id);
    return final ? { kind: 'final', final } : undefined;
  }

  /** The job as it is, by memory or, if it is not there, by the store. */
  async find(id: JobId): Promise<Answer> {
    let known = this.known(id);
    if (known?.kind === 'job' && known.job.turning) {
      // Another node may have read its end in the store before we are told: never answer older.
      await this.ledger.written(known.job);
      known = this.known(id);
      if (known?.kind === 'job' && known.job.turning) return { kind: 'unsure' };
    }
    if (known) {
      return known.kind === 'job' && known.job.revision === 0 ? { kind: 'unsure' } : known;
    }
    const held = await this.deps.front.lookup(id);
    if (this.closed) return { kind: 'unsure' };
    if (held.kind === 'live') {
      // Another node took it in while it could not reach us.
      if (!this.ledger.jobs.has(id) && !this.ledger.final(id)) this.admit(held.job);
      return this.known(id) ?? { kind: 'unsure' };
    }
    if (held.kind === 'final') {
      this.ledger.remember(id, held.final);
      return { kind: 'final', final: held.final };
    }
    return held.kind === 'absent' ? { kind: 'absent' } : { kind: 'unsure' };
  }

  async abort(id: JobId): Promise<Answer> {
    const found = await this.find(id);
    if (found.kind !== 'job') return found;
    const { job } = found;
    job.abort();
    // What was never started need not be stopped.
    for (const [index, p] of [...job.placed]) {
      if (!p.inherited && !p.seen && !p.pushed && !p.sent) this.unplace(job, index, 'cancelled');
    }
    const ok = await this.ledger.written(job);
    if (!ok) return { kind: 'unsure' };
    for (const p of job.placed.values()) this.push(p.machine);
    return this.known(id) ?? { kind: 'unsure' };
  }

  /** Jobs that other nodes took in while they could not reach a leader. */
  private async watchNotices(): Promise<void> {
    while (!this.closed) {
      const notices = await this.deps.front.notices();
      if (this.closed) return;
      if (notices) {
        for (const id of notices.ids) {
          const answer = await this.find(id);
          if (this.closed) return;
          if (answer.kind !== 'unsure') this.ledger.forgetNotice(this.deps.front.noticeKey(id));
        }
        const change = await this.deps.front.followNotices(notices.revision);
        if (change) continue;
      }
      await sleep(this.deps.clock, seconds(1));
    }
  }

  // --- reports ----------------------------------------------------------------------------------

  beat(b: Beat): BeatReply {
    const { clock, settings } = this.deps;
    const now = clock.steady();
    const none: BeatReply = { baton: this.epoch, orders: [] };
    const id = MachineId(b.box);
    if (this.gone.has(id)) return none;
    const place = { build: b.build, hall: b.hall, spot: b.loaners };
    const m = this.meet(id, place, b.addr);
    const r = toReport(b);
    const fresh = m.take(r, now);
    m.answered(now, settings.workers.lease);
    if (!fresh || !this.ready) return none;
    this.observe(m, r, true);
    const orders = this.orders(m, r);
    this.place();
    return { baton: this.epoch, orders };
  }

  meet(id: MachineId, place: Machine['place'], addr: string): Machine {
    const cache = this.deps.catalog.flavor(place.build)?.cache_gb ?? 0;
    let m = this.machines.get(id);
    if (!m) {
      m = new Machine(id, place, cache, leaseEnd(this.began, this.deps.settings.workers.lease));
      this.machines.set(id, m);
    } else if (m.place.build === '') {
      m.place = place;
      m.images.resize(cache);
    }
    if (cache > 0 && !m.hinted) {
      m.hinted = true;
      for (const [image, gb] of this.deps.hints[id] ?? []) m.images.use(image, gb);
    }
    if (addr !== '') m.addr = Endpoint(addr);
    return m;
  }

  isGone(id: MachineId): boolean {
    return this.gone.has(id);
  }

  /** Takes in what a report shows. */
  private observe(m: Machine, r: Report, beat: boolean): void {
    const now = this.deps.clock.steady();
    for (const e of r.entries) {
      const ref = parseTaskKey(e.entry);
      if (!ref) continue;
      const key = taskKey(ref.job, ref.index);
      const job = this.ledger.jobs.get(ref.job);
      const p = job?.placed.get(ref.index);
      const mine = p !== undefined && p.machine === m.id && p.attempt === e.try;
      if (e.status !== 'exited') {
        if (mine) {
          if (e.status === 'running' && !p.ran && job) this.noteStart(job, ref.index, p, m);
          p.seen = true;
          if (e.status === 'running' && job) m.images.use(job.spec.bundle, job.spec.size_gb);
        } else this.stray(key, m.id);
        continue;
      }
      if (e.cause === 'done') {
        if (job && !job.isDone(ref.index)) {
          if (p) this.release(job, ref.index);
          m.images.use(job.spec.bundle, job.spec.size_gb);
          job.finish(ref.index);
          this.ledger.kick();
        }
      } else if (mine && job) {
        this.failed(m, job, ref.index, e, now);
      }
    }
    this.sweepStrays(m, r);
    for (const [key, a] of [...m.assigned]) {
      const job = this.ledger.jobs.get(a.job);
      const p = job?.placed.get(a.index);
      if (!job || !p || p.machine !== m.id || p.attempt !== a.attempt) {
        m.assigned.delete(key);
        continue;
      }
      if (r.entries.some((e) => e.entry === key && e.try === a.attempt)) continue;
      // Not there. If it is not wanted there any more, a proof of absence frees it.
      // An inherited one starts over in the queue: its leader may have given its room away already
      // without having written that, and starting it again could take its team over the limit.
      const unwanted = job.aborted || p.inherited || (m.draining && p.version <= job.committed);
      if (!unwanted) continue;
      if (
        provenAbsent(
          r,
          beat,
          key,
          a.attempt,
          { inherited: p.inherited, sent: p.sent },
          m.doubts,
          this.epoch,
        )
      ) {
        this.unplace(job, a.index, 'not on its machine');
      }
    }
    if (m.assigned.size > 0 || r.entries.some((e) => e.status !== 'exited')) {
      m.idleSince = undefined;
    } else m.idleSince ??= now;
  }

  /** For those who ask where the time went between a submission and its start. */
  private noteStart(job: Job, index: number, p: Placement, m: Machine): void {
    p.ran = true;
    p.ranSince = this.deps.clock.steady();
    const { clock, log } = this.deps;
    log.debug(
      {
        job: job.id,
        index,
        machine: m.id,
        docket: job.spec.docket,
        sinceSubmitMs: Math.round(clock.wall() - job.submitted),
        sincePlacedMs: Math.round(since(p.at, clock.steady())),
        hadImage: p.hadImage,
      },
      'running',
    );
  }

  private failed(m: Machine, job: Job, index: number, e: Entry, now: SteadyMs): void {
    this.unplace(job, index, e.cause ?? 'exited');
    switch (e.cause) {
      case 'error':
        m.faults++;
        job.faultyOn.add(m.id);
        this.deps.log.warn({ job: job.id, index, machine: m.id }, 'task failed');
        // The machine is suspected first: it gets a rest, and this job goes elsewhere.
        m.heldUntil = later(now, ms(FAULT_HOLD * Math.min(4, m.faults)));
        if (job.faultyOn.size >= FAULTY_MACHINES) {
          // It failed on several: now the job is, and it must not eat the fleet.
          job.holds++;
          job.faultyOn.clear();
          job.heldUntil = later(now, ms(Math.min(MAX_HOLD, FAULT_HOLD * 2 ** job.holds)));
          this.deps.log.warn({ job: job.id, desk: job.spec.desk }, 'job held back after failures');
        }
        break;
      case 'full':
      case 'in_use':
        m.heldUntil = later(now, FULL_HOLD);
        break;
      case 'no_such':
        job.heldUntil = later(now, FULL_HOLD);
        break;
      default:
    }
  }

  private stray(key: TaskKey, machine: MachineId): void {
    const set = this.strays.get(key) ?? new Set<MachineId>();
    set.add(machine);
    this.strays.set(key, set);
  }

  private sweepStrays(m: Machine, r: Report | undefined): void {
    for (const [key, set] of this.strays) {
      if (!set.has(m.id)) continue;
      const a = m.assigned.get(key);
      const still = r?.entries.some(
        (e) => e.entry === key && e.status !== 'exited' && e.try !== a?.attempt,
      );
      if (!still) set.delete(m.id);
      if (set.size === 0) this.strays.delete(key);
    }
  }

  /** The orders that a report is answered with. */
  private orders(m: Machine, r: Report): Order[] {
    const out: Order[] = [];
    for (const e of r.entries) {
      const ref = parseTaskKey(e.entry);
      if (!ref) {
        if (e.status === 'exited') out.push({ verb: 'clear', entry: e.entry, try: e.try });
        continue;
      }
      const job = this.ledger.jobs.get(ref.job);
      const p = job?.placed.get(ref.index);
      const mine = p !== undefined && p.machine === m.id && p.attempt === e.try;
      if (e.status === 'exited') {
        // A late start of an attempt that was cleared would run it once more.
        if (m.doubts.has(attemptKey(e.entry, e.try))) continue;
        // The worker's word is the only record of a finish until ours is written.
        const safe = e.cause !== 'done' || !job || (job.isDone(ref.index) && this.finishKept(job));
        if (safe && !mine) out.push({ verb: 'clear', entry: e.entry, try: e.try });
      } else if (!mine || job?.aborted) {
        out.push({ verb: 'kill', entry: e.entry, try: e.try, wind_down_s: 0 });
      } else if (p.evict !== undefined) {
        out.push({ verb: 'kill', entry: e.entry, try: e.try, wind_down_s: p.evict });
      }
    }
    for (const [key, a] of m.assigned) {
      if (out.length >= MAX_ORDERS) break;
      const job = this.ledger.jobs.get(a.job);
      const p = job?.placed.get(a.index);
      if (!job || !p || r.entries.some((e) => e.entry === key && e.try === a.attempt)) continue;
      if (job.aborted) {
        // A start sent straight to the worker may still arrive. Used up here, it can't run then.
        if (m.doubts.has(attemptKey(key, a.attempt))) {
          out.push({ verb: 'launch', entry: key, try: a.attempt });
          out.push({ verb: 'kill', entry: key, try: a.attempt, wind_down_s: 0 });
        }
      } else if (
        !p.inherited &&
        p.version <= job.committed &&
        (!m.draining || m.doubts.has(attemptKey(key, a.attempt)))
      ) {
        p.sent = { shift: r.shift, tally: r.tally };
        out.push({ verb: 'launch', entry: key, try: a.attempt });
      }
    }
    return out;
  }

  /** Whether all that a job finished is in the store. */
  private finishKept(job: Job): boolean {
    return job.committed >= job.version || job.shown.done >= job.doneCount;
  }

  // --- direct orders ----------------------------------------------------------------------------

  /** Orders that should not wait for the next report are sent to the machine in this turn's end. */
  private push(id: MachineId): void {
    const m = this.machines.get(id);
    if (!m) return;
    this.pushes.add(m);
    if (this.pushing) return;
    this.pushing = true;
    this.deps.clock.after(ms(0), () => {
      this.pushing = false;
      const list = [...this.pushes];
      this.pushes.clear();
      for (const machine of list) {
        void this.command(machine).catch((e: unknown) =>
          this.deps.log.error({ err: e, machine: machine.id }, 'command failed'),
        );
      }
    });
  }

  private async command(m: Machine): Promise<void> {
    const now = this.deps.clock.steady();
    if (this.closed || m.directBusy || !m.up || !m.addr || !m.report || m.deleteSent) return;
    if (now < m.directUntil || now > m.expires || this.deps.authority() !== this.epoch) return;
    const orders: Order[] = [];
    const started: string[] = [];
    for (const [key, a] of m.assigned) {
      if (orders.length >= MAX_ORDERS) break;
      const job = this.ledger.jobs.get(a.job);
      const p = job?.placed.get(a.index);
      if (!job || !p || p.version > job.committed) continue;
      if (job.aborted) {
        if (p.stopped || !(p.seen || p.pushed || p.sent || p.inherited)) continue;
        p.stopped = true;
        orders.push({ verb: 'kill', entry: key, try: a.attempt, wind_down_s: 0 });
      } else if (p.evict !== undefined && p.seen) {
        if (p.stopped) continue;
        p.stopped = true;
        orders.push({ verb: 'kill', entry: key, try: a.attempt, wind_down_s: p.evict });
      } else if (!p.seen && !p.pushed && !p.sent && !p.inherited && !m.draining) {
        p.pushed = true;
        // Until it is answered the start may arrive at any time.
        const attempt = attemptKey(key, a.attempt);
        m.doubts.add(attempt);
        started.push(attempt);
        orders.push({ verb: 'launch', entry: key, try: a.attempt });
      }
    }
    if (orders.length === 0) return;
    m.directBusy = true;
    const shift = m.report.shift;
    const outcome = await this.deps.http.send({
      endpoint: m.addr,
      method: 'POST',
      path: '/commands',
      body: { baton: this.epoch, shift, orders },
      timeout: COMMAND_TIMEOUT,
    });
    m.directBusy = false;
    if (this.closed) return;
    if (outcome.kind === 'answer') {
      // Carried out or refused: either way nothing of it is under way any more.
      for (const attempt of started) m.doubts.delete(attempt);
      const body = Beat.safeParse(outcome.body);
      if (body.success && !this.gone.has(m.id) && body.data.box === m.id) {
        const r = toReport(body.data);
        if (m.take(r, this.deps.clock.steady())) this.observe(m, r, false);
      }
    } else {
      if (outcome.kind === 'undelivered') for (const attempt of started) m.doubts.delete(attempt);
      this.deps.log.info({ machine: m.id, why: outcome.why }, 'command not answered');
      m.directUntil = later(this.deps.clock.steady(), DIRECT_PAUSE);
    }
    this.push(m.id);
  }

  // --- machines that are gone -------------------------------------------------------------------

  private expire(): void {
    const now = this.deps.clock.steady();
    for (const m of this.machines.values()) {
      if (now <= m.expires || (!m.up && m.assigned.size === 0)) continue;
      this.deps.log.warn(
        { machine: m.id, tasks: m.assigned.size, epoch: this.epoch },
        'worker lease expired',
      );
      m.expire();
      this.freeAll(m, 'worker lease expired');
    }
    for (const [id, at] of this.gone) if (since(at, now) > seconds(600)) this.gone.delete(id);
  }

  private freeAll(m: Machine, why: string): void {
    for (const a of [...m.assigned.values()]) {
      const job = this.ledger.jobs.get(a.job);
      if (job?.placed.get(a.index)?.machine === m.id) this.unplace(job, a.index, why);
    }
    m.assigned.clear();
    this.sweepStrays(m, undefined);
    this.place();
  }

  /** The cloud answered that it is gone, or that it stopped on its own. */
  removed(m: Machine, why: string): void {
    this.deps.log.info({ machine: m.id, tasks: m.assigned.size, why }, 'machine is gone');
    this.machines.delete(m.id);
    this.gone.set(m.id, this.deps.clock.steady());
    m.expire();
    this.freeAll(m, why);
  }

  // --- placing ----------------------------------------------------------------------------------

  /** Jobs with waiting tasks, most urgent first. */
  queue(): Job[] {
    const now = this.deps.clock.steady();
    const wall = this.deps.clock.wall();
    return [...this.ledger.jobs.values()]
      .filter((j) => !j.aborted && j.waiting.size > 0 && j.heldUntil <= now)
      .map((j) =>
        placeInQueue(j, this.deps.settings.objectives, wall, ms(j.spec.expected_s * 1000)),
      )
      .sort(compare)
      .map((p) => p.job);
  }

  place(): void {
    if (!this.ready || this.placing || this.closed) return;
    this.placing = true;
    this.deps.clock.after(ms(5), () => {
      this.placing = false;
      if (this.closed) return;
      try {
        this.placeNow();
      } catch (e) {
        this.deps.log.error({ err: e }, 'placing failed');
      }
    });
  }

  private placeNow(): void {
    const queue = this.queue();
    if (queue.length === 0) return;
    const now = this.deps.clock.steady();
    const hosts = this.hosts(now);
    if (hosts.length === 0) return;
    const wants = queue.map((job) => this.want(job));
    const fleet = hosts.reduce((n, h) => n + h.total.cpus, 0);
    const reserve = this.urgent.reserve(fleet, now);
    for (const job of queue) this.regroup(job);
    const result = placeTasks(wants, hosts, this.teamRoom(), MOST_PER_ROUND, reserve);
    if (result.length < MOST_PER_ROUND) this.makeRoom(queue, result, now);
    const byJob = new Map<JobId, { index: number; machine: MachineId }[]>();
    for (const a of result) {
      const list = byJob.get(a.job) ?? [];
      list.push(a);
      byJob.set(a.job, list);
    }
    for (const [id, tasks] of byJob) {
      const job = this.ledger.jobs.get(id);
      if (!job) continue;
      job.place(tasks, now);
      for (const { index } of tasks) {
        const p = job.placed.get(index);
        if (!p) continue;
        this.assign(job, index, p);
        p.hadImage = this.machines.get(p.machine)?.images.has(job.spec.bundle) ?? false;
      }
      if (job.spec.together) {
        const first = tasks[0] && this.machines.get(tasks[0].machine);
        job.zone = first?.place.hall;
      }
      this.deps.log.debug({ job: id, tasks: tasks.length, epoch: this.epoch }, 'placed');
    }
    this.ledger.kick();
  }

  /** The rest of a gang that lost a part can't go on without it. */
  private regroup(job: Job): void {
    if (job.spec.shape !== 'ensemble' || job.placed.size === 0) return;
    for (const p of job.placed.values()) this.evict(p, job.spec);
  }

  private evict(p: Placement, spec: JobSpec): void {
    if (p.evict !== undefined) return;
    p.evict = spec.stamp_every_s > 0 ? spec.stamp_s : 0;
    this.push(p.machine);
  }

  /**
   * Urgent tasks that found no room take that of less urgent ones which have only just begun, so
   * that little work is lost. What is stopped waits again, behind them in the queue.
   */
  private makeRoom(queue: readonly Job[], placed: readonly { job: JobId }[], now: SteadyMs): void {
    let budget = MOST_EVICTED;
    const rooms = this.teamRoom();
    for (const job of queue) {
      if (budget <= 0 || !UrgentWork.is(job.spec)) return;
      const left = job.waiting.size - placed.filter((a) => a.job === job.id).length;
      let cpus = left * job.spec.vcpus - this.comingFree;
      if (left <= 0 || cpus <= 0) continue;
      // At its team's limit, no machine's room would help.
      const room = rooms.get(job.spec.desk);
      if (room && room.cpus < job.spec.vcpus) continue;
      const victims: { p: Placement; spec: JobSpec; lost: number; holds: boolean }[] = [];
      for (const other of this.ledger.jobs.values()) {
        if (rankOf(other.spec.urgency) <= rankOf(job.spec.urgency)) continue;
        if (other.aborted || other.spec.shape !== 'sweep') continue;
        for (const p of other.placed.values()) {
          const m = this.machines.get(p.machine);
          if (!m?.up || m.draining || p.ranSince === undefined || p.evict !== undefined) continue;
          const lost = since(p.ranSince, now);
          if (lost > MOST_LOST || !this.suits(job.spec, m)) continue;
          victims.push({ p, spec: other.spec, lost, holds: m.images.has(job.spec.bundle) });
        }
      }
      victims.sort((a, b) => Number(b.holds) - Number(a.holds) || a.lost - b.lost);
      for (const v of victims) {
        if (cpus <= 0 || budget <= 0) break;
        cpus -= v.spec.vcpus;
        budget--;
        this.evict(v.p, v.spec);
      }
    }
  }

  /** Processors of tasks that were told to stop and have not yet. */
  private get comingFree(): number {
    let cpus = 0;
    for (const job of this.ledger.jobs.values()) {
      for (const p of job.placed.values()) if (p.evict !== undefined) cpus += job.spec.vcpus;
    }
    return cpus;
  }

  private suits(spec: JobSpec, m: Machine): boolean {
    return allows({ builds: spec.builds, hall: spec.hall, spot: spec.loaners }, m.place);
  }

  private hosts(now: SteadyMs): Host[] {
    const silent = this.silentAfter;
    const hosts: Host[] = [];
    for (const m of this.machines.values()) {
      if (!m.up || m.draining || m.deleteSent || m.heldUntil > now || !m.addr || !m.report)
        continue;
      if (m.lastHeard === undefined || since(m.lastHeard, now) > silent) continue;
      const flavor = this.deps.catalog.flavor(m.place.build);
      if (!flavor) continue;
      const total: Size = { cpus: flavor.vcpus, gpus: flavor.gpus, ramGb: flavor.ram_gb };
      const used = this.used(m);
      if (!used) continue;
      hosts.push({
        id: m.id,
        build: m.place.build,
        hall: m.place.hall,
        spot: m.place.spot,
        total,
        free: {
          cpus: total.cpus - used.cpus,
          gpus: total.gpus - used.gpus,
          ramGb: total.ramGb - used.ramGb,
        },
        rate: (m.place.spot ? flavor.spot_price : flavor.rate) / flavor.vcpus,
        fetchGbPerS: flavor.fetch_gb_per_s,
        holds: (image) => m.images.has(image),
        fetching: this.fetching(m),
      });
    }
    return hosts;
  }

  /** When a machine counts as silent: two reports and a bit are missing. */
  get silentAfter(): DurationMs {
    return ms(this.deps.settings.workers.report * 2.75);
  }

  /** What may be in use on a machine; undefined if something runs there whose size is unknown. */
  used(m: Machine): Size | undefined {
    let cpus = 0;
    let gpus = 0;
    let ramGb = 0;
    const add = (s: JobSpec): void => {
      cpus += s.vcpus;
      gpus += s.gpus;
      ramGb += s.ram_gb;
    };
    for (const a of m.assigned.values()) {
      const job = this.ledger.jobs.get(a.job);
      if (job) add(job.spec);
    }
    for (const e of m.report?.entries ?? []) {
      if (e.status === 'exited') continue;
      const ref = parseTaskKey(e.entry);
      if (ref && m.assigned.get(taskKey(ref.job, ref.index))?.attempt === e.try) continue;
      const job = ref && this.ledger.jobs.get(ref.job);
      if (!job) return undefined;
      add(job.spec);
    }
    return { cpus, gpus, ramGb };
  }

  expected(): { spec: JobSpec; count: number }[] {
    let cpus = 0;
    for (const m of this.machines.values()) {
      if (m.up) cpus += this.deps.catalog.flavor(m.place.build)?.vcpus ?? 0;
    }
    return this.urgent.expected(cpus);
  }

  spec(id: JobId): JobSpec | undefined {
    return this.ledger.jobs.get(id)?.spec;
  }

  private fetching(m: Machine): Set<string> {
    const images = new Set<string>();
    for (const [key, a] of m.assigned) {
      const job = this.ledger.jobs.get(a.job);
      if (!job || m.images.has(job.spec.bundle)) continue;
      const e = m.entry(key);
      if (!e || e.status === 'fetching') images.add(job.spec.bundle);
    }
    return images;
  }

  private want(job: Job): Want {
    const { spec } = job;
    const inZone = new Map<string, number>();
    for (const p of job.placed.values()) {
      const hall = this.machines.get(p.machine)?.place.hall ?? '';
      inZone.set(hall, (inZone.get(hall) ?? 0) + 1);
    }
    const unknown = inZone.get('') ?? 0;
    // Tasks whose machine's zone is not known yet may be in any.
    const perZone = spec.apart ? Math.ceil(spec.entries / 2) - unknown : Infinity;
    const whole = spec.shape === 'ensemble';
    const room = openTaskLimit(spec, this.deps.settings.state.valueBytes) - job.open;
    return {
      id: job.id,
      team: spec.desk,
      size: sizeOfSpec(spec),
      image: spec.bundle,
      imageGb: spec.size_gb,
      builds: spec.builds,
      hall: spec.hall,
      spot: spec.loaners,
      together: spec.together,
      // While none of its tasks may be anywhere, it is free to start over in another zone.
      zone: job.placed.size > 0 ? (job.zone ?? '') : undefined,
      perZone,
      inZone,
      indexes: whole && job.placed.size > 0 ? [] : this.placeable(job, room),
      // A gang that lost a part is stopped and starts over as a whole.
      count: whole && job.placed.size > 0 ? 0 : job.waiting.size,
      whole,
      avoid: job.faultyOn,
      urgent: UrgentWork.is(spec),
    };
  }

  /** Waiting tasks that may start now: none that may still be on some machine by a stray attempt. */
  private *placeable(job: Job, room: number): IterableIterator<number> {
    const tail = job.waiting.last();
    let fresh = Math.max(0, room);
    // A stray attempt counts for the zones too; it is gone soon.
    const zoned = job.spec.together || job.spec.apart;
    if (zoned && [...this.strays.keys()].some((k) => parseTaskKey(k)?.job === job.id)) return;
    for (const index of job.waiting.indexes()) {
      if (this.strays.has(taskKey(job.id, index))) continue;
      // Tasks of the untouched tail make the record grow; those below are counted already.
      if (tail && tail[1] === job.spec.entries && index >= tail[0] && fresh-- <= 0) return;
      yield index;
    }
  }

  /** What each limited team may still start, counting all that may be on machines. */
  private teamRoom(): Map<string, { cpus: number; gpus: number }> {
    const rooms = new Map<string, { cpus: number; gpus: number }>();
    for (const t of this.deps.settings.teams.values()) {
      if (t.cpusMax <= 0 && t.gpusMax <= 0) continue;
      rooms.set(t.name, {
        cpus: t.cpusMax > 0 ? t.cpusMax : Infinity,
        gpus: t.gpusMax > 0 ? t.gpusMax : Infinity,
      });
    }
    if (rooms.size === 0) return rooms;
    for (const job of this.ledger.jobs.values()) {
      const room = rooms.get(job.spec.desk);
      if (!room) continue;
      room.cpus -= job.placed.size * job.spec.vcpus;
      room.gpus -= job.placed.size * job.spec.gpus;
    }
    for (const [key, set] of this.strays) {
      const job = this.ledger.jobs.get(parseTaskKey(key)?.job ?? JobId(''));
      const room = job && rooms.get(job.spec.desk);
      if (!room) continue;
      room.cpus -= set.size * job.spec.vcpus;
      room.gpus -= set.size * job.spec.gpus;
    }
    return rooms;
  }
}
