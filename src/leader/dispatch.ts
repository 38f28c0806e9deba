import { silentAfter } from '../capacity/lost-machines.js';
import type { Machine } from '../fleet/machine.js';
import { less, sizeOfFlavor, sizeOfSpec } from '../fleet/size.js';
import type { Job } from '../ledger/job.js';
import { compare, isUrgent, placeInQueue, rankOf, type Place } from '../ledger/queue.js';
import {
  allows,
  place as placeTasks,
  type Host,
  type TeamRoom,
  type Want,
} from '../placer/placer.js';
import {
  JobId,
  ms,
  parseTaskKey,
  since,
  taskKey,
  type DurationMs,
  type Epoch,
  type MachineId,
  type SteadyMs,
} from '../units/index.js';
import { JobKind, type JobSpec } from '../wire/index.js';
import { JUST_BEGUN, type Begun, type Board } from './board.js';
import type { TermDeps } from './deps.js';
import type { Orders } from './orders.js';
import { StandbyWork } from './standby.js';

/** What happens within this time is placed together; longer, the longer that placing takes. */
const GATHER_LEAST = ms(5);
const GATHER_MOST = ms(150);
/** Placing takes no more than about this share of the time, whatever the size of the fleet. */
const PLACING_SHARE = 0.2;
/** The most tasks that one placing round commits, so that no transaction grows too large. */
const MOST_PER_ROUND = 400;
/** How many tasks are stopped at a time to make room for urgent ones. */
const MOST_EVICTED = 8;

/** Where waiting tasks go: the placer's view of jobs and machines, and what follows from its word. */
export class Dispatch {
  readonly standby: StandbyWork;
  private gathering = false;
  private gather = GATHER_LEAST;
  private closed = false;
  /** Set once the term knows all live jobs. */
  ready = false;

  constructor(
    private readonly epoch: Epoch,
    private readonly board: Board,
    private readonly orders: Orders,
    private readonly deps: TermDeps,
  ) {
    this.standby = new StandbyWork(deps.settings.objectives);
  }

  close(): void {
    this.closed = true;
  }

  /** Jobs with waiting tasks, most urgent first. */
  queue(): Place[] {
    const now = this.deps.clock.steady();
    const wall = this.deps.clock.wall();
    const queue: Place[] = [];
    for (const j of this.board.ledger.jobs.values()) {
      if (j.aborted || j.waiting.size === 0 || j.heldUntil > now) continue;
      queue.push(placeInQueue(j, this.deps.settings.objectives, wall, now));
    }
    return queue.sort(compare);
  }

  /** Places soon, together with what else comes up in the meantime. */
  wake(): void {
    if (!this.ready || this.gathering || this.closed) return;
    this.gathering = true;
    this.deps.clock.after(this.gather, () => {
      this.gathering = false;
      if (this.closed) return;
      const began = this.deps.clock.steady();
      try {
        this.place();
      } catch (e) {
        this.deps.log.error({ err: e }, 'placing failed');
      }
      const took = since(began, this.deps.clock.steady());
      this.gather = ms(Math.min(GATHER_MOST, Math.max(GATHER_LEAST, took / PLACING_SHARE)));
    });
  }

  place(): void {
    const queue = this.queue();
    if (queue.length === 0) return;
    const now = this.deps.clock.steady();
    const hosts = this.hosts(now);
    if (hosts.length === 0) return;
    const wants = queue.map((p) => this.want(p, now));
    const fleet = hosts.reduce((n, h) => n + h.total.cpus, 0);
    const reserve = this.standby.reserve(fleet, now);
    const result = placeTasks(wants, hosts, this.teamRoom(), MOST_PER_ROUND, reserve);
    if (result.length < MOST_PER_ROUND) this.makeRoom(queue, result, now);
    const byJob = new Map<JobId, { index: number; machine: MachineId }[]>();
    for (const a of result) {
      const list = byJob.get(a.job) ?? [];
      list.push(a);
      byJob.set(a.job, list);
    }
    for (const [id, tasks] of byJob) this.commit(id, tasks, now);
  }

  private commit(
    id: JobId,
    tasks: readonly { index: number; machine: MachineId }[],
    now: SteadyMs,
  ): void {
    const job = this.board.ledger.jobs.get(id);
    if (!job) return;
    job.place(tasks, now);
    for (const { index } of tasks) {
      const p = job.placed.get(index);
      if (!p) continue;
      this.board.assign(job, index, p);
      p.hadImage = this.machines.get(p.machine)?.images.has(job.spec.image) ?? false;
    }
    if (job.spec.singleZone) {
      const first = tasks[0] && this.machines.get(tasks[0].machine);
      job.zone = first?.place.zone;
    }
    this.deps.log.debug({ job: id, tasks: tasks.length }, 'placed');
  }

  private get machines(): ReadonlyMap<MachineId, Machine> {
    return this.board.fleet.machines;
  }

  /**
   * Urgent tasks that found no room take that of less urgent ones which have only just begun, so
   * that little work is lost. What is stopped waits again, behind them in the queue.
   */
  private makeRoom(
    queue: readonly Place[],
    placed: readonly { job: JobId }[],
    now: SteadyMs,
  ): void {
    let budget = MOST_EVICTED;
    const rooms = this.teamRoom();
    for (const { job } of queue) {
      if (budget <= 0) return;
      if (!isUrgent(job.spec.priority)) continue;
      const left = job.waiting.size - placed.filter((a) => a.job === job.id).length;
      let cpus = left * job.spec.cpus - this.board.comingFree;
      if (left <= 0 || cpus <= 0) continue;
      // At its team's limit, no machine's room would help.
      const room = rooms.get(job.spec.team);
      if (room && room.cpus < job.spec.cpus) continue;
      for (const v of this.victims(job, now)) {
        if (cpus <= 0 || budget <= 0) break;
        cpus -= v.job.spec.cpus;
        budget--;
        this.board.evict(v.job, v.index, v.placement);
        this.orders.push(v.placement.machine);
      }
    }
  }

  /** What may be stopped for a job, on holders of its image first, the least lost work first. */
  private victims(job: Job, now: SteadyMs): (Begun & { index: number })[] {
    const victims: (Begun & { index: number; holds: boolean; lost: number })[] = [];
    for (const b of this.board.justBegun(now)) {
      const other = b.job;
      const { placement: p } = b;
      if (rankOf(other.spec.priority) <= rankOf(job.spec.priority)) continue;
      if (other.aborted || other.spec.kind !== JobKind.array || p.evict !== undefined) continue;
      const lost = since(b.since, now);
      const m = this.machines.get(p.machine);
      if (!m?.up || m.draining || lost > JUST_BEGUN || !this.suits(job.spec, m)) continue;
      // It may have ended, or lost its place, since it began.
      if (this.board.ledger.jobs.get(other.id) !== other || other.placed.get(b.index) !== p)
        continue;
      victims.push({ ...b, lost, holds: m.images.has(job.spec.image) });
    }
    return victims.sort((a, b) => Number(b.holds) - Number(a.holds) || a.lost - b.lost);
  }

  private suits(spec: JobSpec, m: Machine): boolean {
    return allows({ types: spec.machineTypes, onlyZone: spec.zone, spot: spec.allowSpot }, m.place);
  }

  private hosts(now: SteadyMs): Host[] {
    const silent = this.silentAfter;
    const hosts: Host[] = [];
    for (const m of this.machines.values()) {
      if (!m.up || m.draining || m.deleteSent || m.heldUntil > now || !m.addr || !m.report)
        continue;
      if (m.isGhost(this.epoch, now)) continue;
      if (m.lastHeard === undefined || since(m.lastHeard, now) > silent) continue;
      const flavor = this.deps.catalog.flavor(m.place.type);
      if (!flavor) continue;
      const load = this.board.fleet.load(m);
      if (load.unknown) continue;
      const total = sizeOfFlavor(flavor);
      hosts.push({
        id: m.id,
        type: m.place.type,
        zone: m.place.zone,
        spot: m.place.spot,
        total,
        free: less(total, load.used),
        rate: (m.place.spot ? flavor.spotPrice : flavor.onDemandPrice) / flavor.cpus,
        fetchGbPerS: flavor.fetchGbPerSecond,
        holds: (image) => m.images.has(image),
        fetching: load.fetching,
      });
    }
    return hosts;
  }

  get silentAfter(): DurationMs {
    return silentAfter(this.deps.settings.workers.report);
  }

  expected(): { spec: JobSpec; count: number }[] {
    let cpus = 0;
    for (const m of this.machines.values()) {
      if (m.up) cpus += this.deps.catalog.flavor(m.place.type)?.cpus ?? 0;
    }
    return this.standby.expected(cpus, this.deps.clock.steady());
  }

  private want({ job, rank, tasks, mustBegin }: Place, now: SteadyMs): Want {
    const { spec } = job;
    const zoned = spec.singleZone || spec.spreadZones;
    const inZone = new Map<string, number>();
    if (zoned) {
      for (const p of job.placed.values()) {
        const zone = this.machines.get(p.machine)?.place.zone ?? '';
        inZone.set(zone, (inZone.get(zone) ?? 0) + 1);
      }
    }
    const unknown = inZone.get('') ?? 0;
    // Tasks whose machine's zone is not known yet may be in any.
    const perZone = spec.spreadZones ? Math.ceil(spec.taskCount / 2) - unknown : Infinity;
    const whole = job.isGang;
    // The next attempt of a gang begins when the one before is gone.
    const isHeld = whole && job.placed.size > 0;
    const count = whole ? job.waiting.size : tasks;
    const { recordLimits } = this.deps;
    const room = recordLimits.openTasks(spec, this.board.fleet.longestOtherName) - job.open;
    return {
      id: job.id,
      team: spec.team,
      size: sizeOfSpec(spec),
      image: spec.image,
      imageGb: spec.imageSizeGb,
      types: spec.machineTypes,
      onlyZone: spec.zone,
      spot: spec.allowSpot,
      together: spec.singleZone,
      // While none of its tasks may be anywhere, it is free to start over in another zone.
      zone: job.placed.size > 0 ? (job.zone ?? '') : undefined,
      perZone,
      inZone,
      indexes: isHeld ? [] : this.placeable(job, room, zoned, count),
      count: isHeld ? 0 : count,
      whole,
      avoid: new Set([...job.faultyOn].filter(([, until]) => until > now).map(([id]) => id)),
      urgent: isUrgent(spec.priority) || rank < 0,
      isExpected: this.standby.isExpected(spec),
      rank,
      mustBegin,
    };
  }

  /** Waiting tasks that may start now: none that may still be on some machine by a stray attempt. */
  private *placeable(
    job: Job,
    room: number,
    zoned: boolean,
    most: number,
  ): IterableIterator<number> {
    const { fleet } = this.board;
    const tail = job.waiting.last();
    let fresh = Math.max(0, room);
    // A stray attempt counts for the zones too; it is gone soon.
    if (zoned && [...fleet.strayKeys.keys()].some((k) => parseTaskKey(k)?.job === job.id)) return;
    let left = most;
    for (const index of job.waiting.indexes()) {
      if (left <= 0) return;
      if (fleet.isStray(taskKey(job.id, index))) continue;
      // Tasks of the untouched tail make the record grow; those below are counted already.
      if (tail && tail[1] === job.spec.taskCount && index >= tail[0] && fresh-- <= 0) return;
      left--;
      yield index;
    }
  }

  /** What each limited team may still start, counting all that may be on machines. */
  private teamRoom(): Map<string, TeamRoom> {
    const rooms = new Map<string, TeamRoom>();
    for (const t of this.deps.settings.teams.values()) {
      if (t.cpusMax <= 0 && t.gpusMax <= 0) continue;
      rooms.set(t.name, {
        cpus: t.cpusMax > 0 ? t.cpusMax : Infinity,
        gpus: t.gpusMax > 0 ? t.gpusMax : Infinity,
      });
    }
    if (rooms.size === 0) return rooms;
    const take = (spec: JobSpec | undefined, tasks: number): void => {
      const room = spec && rooms.get(spec.team);
      if (!room) return;
      room.cpus -= tasks * spec.cpus;
      room.gpus -= tasks * spec.gpus;
    };
    const { ledger, fleet } = this.board;
    for (const job of ledger.jobs.values()) take(job.spec, job.placed.size);
    for (const [key, set] of fleet.strayKeys) {
      const id = parseTaskKey(key)?.job ?? JobId('');
      const spec = ledger.jobs.get(id)?.spec;
      take(spec, set.size);
      if (spec) continue;
      // Of a job that is over nobody knows any more how large its tasks are: until this one is gone its
      // team, or if that is not known either each of them, starts nothing.
      const desk = ledger.final(id)?.desk;
      for (const [name, room] of rooms) {
        if (desk !== undefined && desk !== name) continue;
        room.cpus = Math.min(0, room.cpus);
        room.gpus = Math.min(0, room.gpus);
      }
    }
    return rooms;
  }
}
