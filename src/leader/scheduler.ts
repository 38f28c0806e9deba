/** Decides where waiting tasks go, in placing rounds, and records the placements. */
import { silenceThreshold } from '../capacity/lost-machines.js';
import type { Machine } from '../fleet/machine.js';
import { compareQueueEntries, queueEntryFor, type QueueEntry } from '../ledger/queue-order.js';
import { place, type Assignment, type RemainingQuota } from '../placer/placer.js';
import type { DurationMs, Epoch, JobId, MachineId, SteadyMs } from '../units/index.js';
import { AnticipatedWork, type AnticipatedSubmission } from './anticipated-work.js';
import { candidateMachines } from './candidate-machines.js';
import type { TermDependencies } from './term-dependencies.js';
import type { PlacementIndex } from './placement-index.js';
import { PlacingLoop } from './placing-loop.js';
import { Preemption, type CommandPusher } from './preemption.js';
import { remainingQuotas } from './remaining-quotas.js';
import { TaskRequestBuilder } from './task-requests.js';

/** The most array tasks that one placing round commits, so that no transaction grows too large. */
const MAX_PLACEMENTS_PER_ROUND = 400;

/** Places the waiting tasks of all jobs on the machines of one term, and preempts for urgent ones. */
export class Scheduler {
  /** Recent submissions, for which capacity is kept on standby. */
  readonly forecast: AnticipatedWork;
  /** Set once the term knows all live jobs: before that nothing is placed on request. */
  isReady = false;
  private readonly loop: PlacingLoop;
  private readonly requests: TaskRequestBuilder;
  private readonly preemption: Preemption;

  constructor(
    private readonly epoch: Epoch,
    private readonly placements: PlacementIndex,
    commands: CommandPusher,
    private readonly deps: TermDependencies,
  ) {
    this.forecast = new AnticipatedWork(deps.settings.objectives);
    this.loop = new PlacingLoop(deps.clock, deps.log, () => this.placeWaiting());
    this.requests = new TaskRequestBuilder(placements, deps.recordLimits, this.forecast);
    this.preemption = new Preemption(placements, commands);
  }

  /** A machine that has been silent for longer gets no new tasks. */
  get silenceThreshold(): DurationMs {
    return silenceThreshold(this.deps.settings.workers.heartbeatInterval);
  }

  private get machines(): ReadonlyMap<MachineId, Machine> {
    return this.placements.fleet.machines;
  }

  /** No placing round begins after this. */
  close(): void {
    this.loop.close();
  }

  /** Jobs with waiting tasks, most urgent first. */
  queue(): QueueEntry[] {
    const now = this.deps.clock.steady();
    const wall = this.deps.clock.wall();
    const queue: QueueEntry[] = [];
    for (const job of this.placements.ledger.jobs.values()) {
      if (job.isCancelled || job.waiting.size === 0 || job.backoffUntil > now) continue;
      queue.push(queueEntryFor(job, this.deps.settings.objectives, wall, now));
    }
    return queue.sort(compareQueueEntries);
  }

  /** Capacity to have on standby for work that has not been submitted yet. */
  anticipatedSubmissions(): AnticipatedSubmission[] {
    let cpus = 0;
    for (const machine of this.machines.values()) {
      if (machine.isUp) cpus += this.deps.catalog.machineType(machine.kind.machineType)?.cpus ?? 0;
    }
    return this.forecast.anticipated(cpus, this.deps.clock.steady());
  }

  /** Asks for a placing round soon: events that follow shortly are handled by the same one. */
  schedulePlacing(): void {
    if (this.isReady) this.loop.schedule();
  }

  /** Runs a placing round at once. */
  placeWaiting(): void {
    const queue = this.queue();
    if (queue.length === 0) return;
    const now = this.deps.clock.steady();
    const assignments = this.assign(queue, now);
    if (!assignments) return;
    if (assignments.length < MAX_PLACEMENTS_PER_ROUND)
      this.preemption.preemptForUrgent({ queue, assignments, quotas: this.quotas(), now });
    for (const [id, tasks] of byJob(assignments)) this.applyAssignments(id, tasks, now);
  }

  /** The placer's decisions, not applied yet; undefined if no machine can take tasks. */
  private assign(queue: readonly QueueEntry[], now: SteadyMs): Assignment[] | undefined {
    const machines = candidateMachines(
      {
        fleet: this.placements.fleet,
        catalog: this.deps.catalog,
        epoch: this.epoch,
        silenceThreshold: this.silenceThreshold,
      },
      now,
    );
    if (machines.length === 0) return undefined;
    const requests = queue.map((entry) => this.requests.build(entry, now));
    const fleetCpus = machines.reduce((sum, machine) => sum + machine.capacity.cpus, 0);
    return place({
      requests,
      machines,
      quotas: this.quotas(),
      maxAssignments: MAX_PLACEMENTS_PER_ROUND,
      reserve: this.forecast.reserve(fleetCpus, now),
    });
  }

  private quotas(): Map<string, RemainingQuota> {
    const { ledger, fleet } = this.placements;
    return remainingQuotas(this.deps.settings.teams.values(), ledger, fleet);
  }

  /** Places the tasks of a job in its record. Their starts are sent once that is committed. */
  private applyAssignments(id: JobId, tasks: readonly Assignment[], now: SteadyMs): void {
    const job = this.placements.ledger.jobs.get(id);
    if (!job) return;
    job.placeTasks(tasks, now);
    for (const { index } of tasks) {
      const placement = job.placements.get(index);
      if (!placement) continue;
      this.placements.assignTask(job, index, placement);
      placement.wasImageCached =
        this.machines.get(placement.machine)?.images.has(job.spec.image) ?? false;
    }
    if (job.spec.singleZone) {
      const firstMachine = tasks[0] && this.machines.get(tasks[0].machine);
      job.boundZone = firstMachine?.kind.zone;
    }
    this.deps.log.debug({ job: id, tasks: tasks.length }, 'placed');
  }
}

function byJob(assignments: readonly Assignment[]): Map<JobId, Assignment[]> {
  const jobs = new Map<JobId, Assignment[]>();
  for (const assignment of assignments) {
    const tasks = jobs.get(assignment.job) ?? [];
    tasks.push(assignment);
    jobs.set(assignment.job, tasks);
  }
  return jobs;
}
