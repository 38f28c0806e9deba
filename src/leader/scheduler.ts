import { silenceThreshold } from '../capacity/lost-machines.js';
import type { Machine } from '../fleet/machine.js';
import { subtract, machineResources, taskResources } from '../fleet/resources.js';
import type { Job } from '../ledger/job.js';
import {
  compareQueueEntries,
  isUrgent,
  queueEntryFor,
  rankOf,
  type QueueEntry,
} from '../ledger/queue-order.js';
import {
  isAllowed,
  place as placeTasks,
  type CandidateMachine,
  type RemainingQuota,
  type TaskRequest,
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
import { RECENT_START_WINDOW, type RecentStart, type PlacementIndex } from './placement-index.js';
import type { TermDependencies } from './dependencies.js';
import type { CommandSender } from './command-sender.js';
import { AnticipatedWork } from './anticipated-work.js';

/** What happens within this time is placed together; longer, the longer that placing takes. */
const MIN_BATCH_DELAY = ms(5);
const MAX_BATCH_DELAY = ms(150);
/** Placing takes no more than about this share of the time, whatever the size of the fleet. */
const MAX_PLACING_SHARE = 0.2;
/** The most tasks that one placing round commits, so that no transaction grows too large. */
const MAX_PLACEMENTS_PER_ROUND = 400;
/** How many tasks are stopped at a time to make room for urgent ones. */
const MAX_PREEMPTIONS_PER_ROUND = 8;

/** Where waiting tasks go: the placer's view of jobs and machines, and what follows from its word. */
export class Scheduler {
  readonly standby: AnticipatedWork;
  private placingScheduled = false;
  private batchDelay = MIN_BATCH_DELAY;
  private closed = false;
  /** Set once the term knows all live jobs. */
  isReady = false;

  constructor(
    private readonly epoch: Epoch,
    private readonly board: PlacementIndex,
    private readonly orders: CommandSender,
    private readonly deps: TermDependencies,
  ) {
    this.standby = new AnticipatedWork(deps.settings.objectives);
  }

  close(): void {
    this.closed = true;
  }

  /** Jobs with waiting tasks, most urgent first. */
  queue(): QueueEntry[] {
    const now = this.deps.clock.steady();
    const wall = this.deps.clock.wall();
    const queue: QueueEntry[] = [];
    for (const j of this.board.ledger.jobs.values()) {
      if (j.cancelled || j.waiting.size === 0 || j.heldBackUntil > now) continue;
      queue.push(queueEntryFor(j, this.deps.settings.objectives, wall, now));
    }
    return queue.sort(compareQueueEntries);
  }

  /** Places soon, together with what else comes up in the meantime. */
  schedulePlacing(): void {
    if (!this.isReady || this.placingScheduled || this.closed) return;
    this.placingScheduled = true;
    this.deps.clock.after(this.batchDelay, () => {
      this.placingScheduled = false;
      if (this.closed) return;
      const began = this.deps.clock.steady();
      try {
        this.placeWaiting();
      } catch (e) {
        this.deps.log.error({ err: e }, 'placing failed');
      }
      const took = since(began, this.deps.clock.steady());
      this.batchDelay = ms(
        Math.min(MAX_BATCH_DELAY, Math.max(MIN_BATCH_DELAY, took / MAX_PLACING_SHARE)),
      );
    });
  }

  placeWaiting(): void {
    const queue = this.queue();
    if (queue.length === 0) return;
    const now = this.deps.clock.steady();
    const hosts = this.candidateMachines(now);
    if (hosts.length === 0) return;
    const wants = queue.map((p) => this.taskRequest(p, now));
    const fleet = hosts.reduce((n, h) => n + h.capacity.cpus, 0);
    const reserve = this.standby.reserve(fleet, now);
    const result = placeTasks(
      wants,
      hosts,
      this.remainingQuotas(),
      MAX_PLACEMENTS_PER_ROUND,
      reserve,
    );
    if (result.length < MAX_PLACEMENTS_PER_ROUND) this.preemptForUrgent(queue, result, now);
    const byJob = new Map<JobId, { index: number; machine: MachineId }[]>();
    for (const a of result) {
      const list = byJob.get(a.job) ?? [];
      list.push(a);
      byJob.set(a.job, list);
    }
    for (const [id, tasks] of byJob) this.assignPlaced(id, tasks, now);
  }

  private assignPlaced(
    id: JobId,
    tasks: readonly { index: number; machine: MachineId }[],
    now: SteadyMs,
  ): void {
    const job = this.board.ledger.jobs.get(id);
    if (!job) return;
    job.placeTasks(tasks, now);
    for (const { index } of tasks) {
      const p = job.placements.get(index);
      if (!p) continue;
      this.board.assignTask(job, index, p);
      p.imageWasCached = this.machines.get(p.machine)?.images.has(job.spec.image) ?? false;
    }
    if (job.spec.singleZone) {
      const first = tasks[0] && this.machines.get(tasks[0].machine);
      job.boundZone = first?.kind.zone;
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
  private preemptForUrgent(
    queue: readonly QueueEntry[],
    placed: readonly { job: JobId }[],
    now: SteadyMs,
  ): void {
    let budget = MAX_PREEMPTIONS_PER_ROUND;
    const rooms = this.remainingQuotas();
    for (const { job } of queue) {
      if (budget <= 0) return;
      if (!isUrgent(job.spec.priority)) continue;
      const left = job.waiting.size - placed.filter((a) => a.job === job.id).length;
      let cpus = left * job.spec.cpus - this.board.cpusBeingFreed;
      if (left <= 0 || cpus <= 0) continue;
      // At its team's limit, no machine's room would help.
      const room = rooms.get(job.spec.team);
      if (room && room.cpus < job.spec.cpus) continue;
      for (const v of this.preemptionCandidates(job, now)) {
        if (cpus <= 0 || budget <= 0) break;
        cpus -= v.job.spec.cpus;
        budget--;
        this.board.preempt(v.job, v.index, v.placement);
        this.orders.schedulePush(v.placement.machine);
      }
    }
  }

  /** What may be stopped for a job, on holders of its image first, the least lost work first. */
  private preemptionCandidates(job: Job, now: SteadyMs): (RecentStart & { index: number })[] {
    const victims: (RecentStart & { index: number; holds: boolean; lost: number })[] = [];
    for (const b of this.board.startedRecently(now)) {
      const other = b.job;
      const { placement: p } = b;
      if (rankOf(other.spec.priority) <= rankOf(job.spec.priority)) continue;
      if (
        other.cancelled ||
        other.spec.kind !== JobKind.array ||
        p.evictionGraceSeconds !== undefined
      )
        continue;
      const lost = since(b.startedAt, now);
      const m = this.machines.get(p.machine);
      if (!m?.isUp || m.isDraining || lost > RECENT_START_WINDOW || !this.mayRunOn(job.spec, m))
        continue;
      // It may have ended, or lost its place, since it began.
      if (this.board.ledger.jobs.get(other.id) !== other || other.placements.get(b.index) !== p)
        continue;
      victims.push({ ...b, lost, holds: m.images.has(job.spec.image) });
    }
    return victims.sort((a, b) => Number(b.holds) - Number(a.holds) || a.lost - b.lost);
  }

  private mayRunOn(spec: JobSpec, m: Machine): boolean {
    return isAllowed(
      { machineTypes: spec.machineTypes, requiredZone: spec.zone, allowSpot: spec.allowSpot },
      m.kind,
    );
  }

  private candidateMachines(now: SteadyMs): CandidateMachine[] {
    const silent = this.silenceThreshold;
    const hosts: CandidateMachine[] = [];
    for (const m of this.machines.values()) {
      if (
        !m.isUp ||
        m.isDraining ||
        m.deleteSent ||
        m.quarantinedUntil > now ||
        !m.address ||
        !m.status
      )
        continue;
      if (m.isUnconfirmedAndUnreachable(this.epoch, now)) continue;
      if (m.lastHeardAt === undefined || since(m.lastHeardAt, now) > silent) continue;
      const flavor = this.deps.catalog.machineType(m.kind.machineType);
      if (!flavor) continue;
      const load = this.board.fleet.load(m);
      if (load.hasUnknownTasks) continue;
      const total = machineResources(flavor);
      hosts.push({
        id: m.id,
        machineType: m.kind.machineType,
        zone: m.kind.zone,
        spot: m.kind.spot,
        capacity: total,
        free: subtract(total, load.used),
        pricePerCpu: (m.kind.spot ? flavor.spotPrice : flavor.onDemandPrice) / flavor.cpus,
        fetchGbPerSecond: flavor.fetchGbPerSecond,
        hasImage: (image) => m.images.has(image),
        imagesBeingFetched: load.imagesBeingFetched,
      });
    }
    return hosts;
  }

  get silenceThreshold(): DurationMs {
    return silenceThreshold(this.deps.settings.workers.heartbeatInterval);
  }

  anticipatedWork(): { spec: JobSpec; count: number }[] {
    let cpus = 0;
    for (const m of this.machines.values()) {
      if (m.isUp) cpus += this.deps.catalog.machineType(m.kind.machineType)?.cpus ?? 0;
    }
    return this.standby.anticipated(cpus, this.deps.clock.steady());
  }

  private taskRequest(
    { job, rank, taskCount: tasks, mustStart: mustBegin }: QueueEntry,
    now: SteadyMs,
  ): TaskRequest {
    const { spec } = job;
    const zoned = spec.singleZone || spec.spreadZones;
    const inZone = new Map<string, number>();
    if (zoned) {
      for (const p of job.placements.values()) {
        const zone = this.machines.get(p.machine)?.kind.zone ?? '';
        inZone.set(zone, (inZone.get(zone) ?? 0) + 1);
      }
    }
    const unknown = inZone.get('') ?? 0;
    // Tasks whose machine's zone is not known yet may be in any.
    const perZone = spec.spreadZones ? Math.ceil(spec.taskCount / 2) - unknown : Infinity;
    const whole = job.isGang;
    // The next attempt of a gang begins when the one before is gone.
    const isHeld = whole && job.placements.size > 0;
    const count = whole ? job.waiting.size : tasks;
    const { recordLimits } = this.deps;
    const room =
      recordLimits.openTasks(spec, this.board.fleet.longestOtherName) - job.openTaskCount;
    return {
      id: job.id,
      team: spec.team,
      resources: taskResources(spec),
      image: spec.image,
      imageGb: spec.imageSizeGb,
      machineTypes: spec.machineTypes,
      requiredZone: spec.zone,
      allowSpot: spec.allowSpot,
      singleZone: spec.singleZone,
      // While none of its tasks may be anywhere, it is free to start over in another zone.
      boundZone: job.placements.size > 0 ? (job.boundZone ?? '') : undefined,
      maxPerZone: perZone,
      placedByZone: inZone,
      waitingIndexes: isHeld ? [] : this.placeableTasks(job, room, zoned, count),
      taskCount: isHeld ? 0 : count,
      isGang: whole,
      avoidedMachines: new Set(
        [...job.avoidedMachines].filter(([, until]) => until > now).map(([id]) => id),
      ),
      isUrgent: isUrgent(spec.priority) || rank < 0,
      usesReserve: this.standby.isAnticipated(spec),
      rank,
      mustStart: mustBegin,
    };
  }

  /** Waiting tasks that may start now: none that may still be on some machine by a stray attempt. */
  private *placeableTasks(
    job: Job,
    room: number,
    zoned: boolean,
    most: number,
  ): IterableIterator<number> {
    const { fleet } = this.board;
    const tail = job.waiting.last();
    let fresh = Math.max(0, room);
    // A stray attempt counts for the zones too; it is gone soon.
    if (zoned && [...fleet.orphanedTasks.keys()].some((k) => parseTaskKey(k)?.job === job.id))
      return;
    let left = most;
    for (const index of job.waiting.indexes()) {
      if (left <= 0) return;
      if (fleet.isOrphaned(taskKey(job.id, index))) continue;
      // Tasks of the untouched tail make the record grow; those below are counted already.
      if (tail && tail[1] === job.spec.taskCount && index >= tail[0] && fresh-- <= 0) return;
      left--;
      yield index;
    }
  }

  /** What each limited team may still start, counting all that may be on machines. */
  private remainingQuotas(): Map<string, RemainingQuota> {
    const rooms = new Map<string, RemainingQuota>();
    for (const t of this.deps.settings.teams.values()) {
      if (t.maxCpus <= 0 && t.maxGpus <= 0) continue;
      rooms.set(t.name, {
        cpus: t.maxCpus > 0 ? t.maxCpus : Infinity,
        gpus: t.maxGpus > 0 ? t.maxGpus : Infinity,
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
    for (const job of ledger.jobs.values()) take(job.spec, job.placements.size);
    for (const [key, set] of fleet.orphanedTasks) {
      const id = parseTaskKey(key)?.job ?? JobId('');
      const spec = ledger.jobs.get(id)?.spec;
      take(spec, set.size);
      if (spec) continue;
      // Of a job that is over nobody knows any more how large its tasks are: until this one is gone its
      // team, or if that is not known either each of them, starts nothing.
      const desk = ledger.finalState(id)?.team;
      for (const [name, room] of rooms) {
        if (desk !== undefined && desk !== name) continue;
        room.cpus = Math.min(0, room.cpus);
        room.gpus = Math.min(0, room.gpus);
      }
    }
    return rooms;
  }
}
