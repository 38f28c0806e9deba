/** Runs placement rounds, which assign waiting tasks to machines, and records the placements. */
import { silenceThreshold } from '../capacity/lost-machines.js';
import type { Machine } from '../fleet/machine.js';
import { compareQueueEntries, queueEntryFor, type QueueEntry } from '../ledger/placement-order.js';
import { placeTasks, type Assignment, type RemainingQuota } from '../placer/placer.js';
import type { DurationMs, Epoch, JobId, MachineId, SteadyMs } from '../units/index.js';
import { DemandForecast, type AnticipatedSubmission } from './demand-forecast.js';
import { candidateMachines } from './candidate-machines.js';
import type { TermDependencies } from './term-dependencies.js';
import type { PlacementIndex } from './placement-index.js';
import { PlacementLoop } from './placement-loop.js';
import { Preemption, type DirectCommandScheduler } from './preemption.js';
import { remainingQuotas } from './remaining-quotas.js';
import { TaskRequestBuilder } from './task-request-builder.js';

/** Maximum number of array tasks that one placement round commits, which bounds the size of transactions. */
const MAX_PLACEMENTS_PER_ROUND = 400;

/** Places the waiting tasks of all jobs during one term, and preempts tasks in favor of urgent ones. */
export class Scheduler {
  /** Forecasts submissions for which capacity is kept on standby. */
  readonly forecast: DemandForecast;
  /** Set once the term knows all live jobs. Until then, `schedulePlacement` has no effect. */
  isReady = false;
  private readonly placementLoop: PlacementLoop;
  private readonly requestBuilder: TaskRequestBuilder;
  private readonly preemption: Preemption;

  constructor(
    private readonly epoch: Epoch,
    private readonly placements: PlacementIndex,
    directCommands: DirectCommandScheduler,
    private readonly deps: TermDependencies,
  ) {
    this.forecast = new DemandForecast(deps.settings.objectives);
    this.placementLoop = new PlacementLoop(deps.clock, deps.log, () => this.placeWaitingTasks());
    this.requestBuilder = new TaskRequestBuilder(placements, deps.recordLimits, this.forecast);
    this.preemption = new Preemption(placements, directCommands);
  }

  /** Machines without a heartbeat for longer than this get no new tasks. */
  get silenceThreshold(): DurationMs {
    return silenceThreshold(this.deps.settings.workers.heartbeatInterval);
  }

  private get machines(): ReadonlyMap<MachineId, Machine> {
    return this.placements.fleet.machines;
  }

  /** Prevents any further placement round. */
  close(): void {
    this.placementLoop.close();
  }

  /** Jobs with waiting tasks, most urgent first. */
  jobQueue(): QueueEntry[] {
    const now = this.deps.clock.steady();
    const wall = this.deps.clock.wall();
    const queue: QueueEntry[] = [];
    for (const job of this.placements.ledger.jobs.values()) {
      if (job.isCancelled || job.waitingTasks.size === 0 || job.backoffUntil > now) continue;
      queue.push(queueEntryFor(job, this.deps.settings.objectives, wall, now));
    }
    return queue.sort(compareQueueEntries);
  }

  /** Submissions that are expected soon, for which capacity is kept on standby. */
  anticipatedSubmissions(): AnticipatedSubmission[] {
    let cpus = 0;
    for (const machine of this.machines.values()) {
      if (machine.isUp) cpus += this.deps.catalog.machineType(machine.kind.machineType)?.cpus ?? 0;
    }
    return this.forecast.anticipatedSubmissions(cpus, this.deps.clock.steady());
  }

  /** Requests a placement round soon; events that follow within a short delay share it. */
  schedulePlacement(): void {
    if (this.isReady) this.placementLoop.schedule();
  }

  /** Runs a placement round at once if the time budget for placement allows, otherwise soon. */
  placeNow(): void {
    this.placementLoop.runNow();
  }

  private placeWaitingTasks(): void {
    const queue = this.jobQueue();
    if (queue.length === 0) return;
    const now = this.deps.clock.steady();
    const assignments = this.computeAssignments(queue, now);
    if (!assignments) return;
    if (assignments.length < MAX_PLACEMENTS_PER_ROUND)
      this.preemption.preemptForUrgentJobs({
        queue,
        assignments,
        quotas: this.currentQuotas(),
        now,
      });
    for (const [id, tasks] of groupByJob(assignments)) this.applyAssignments(id, tasks, now);
  }

  /** Computes assignments without applying them; undefined if no machine can take tasks. */
  private computeAssignments(
    queue: readonly QueueEntry[],
    now: SteadyMs,
  ): Assignment[] | undefined {
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
    const requests = queue.map((entry) => this.requestBuilder.build(entry, now));
    const fleetCpus = machines.reduce((sum, machine) => sum + machine.capacity.cpus, 0);
    return placeTasks({
      requests,
      machines,
      quotas: this.currentQuotas(),
      maxAssignments: MAX_PLACEMENTS_PER_ROUND,
      reserve: this.forecast.reservedCpus(fleetCpus, now),
    });
  }

  private currentQuotas(): Map<string, RemainingQuota> {
    const { ledger, fleet } = this.placements;
    return remainingQuotas(this.deps.settings.teams.values(), ledger, fleet);
  }

  /** Records the placements of a job's tasks. Start commands are sent once the record is committed. */
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
    this.deps.log.debug({ job: id, tasks: tasks.length }, 'tasks placed');
  }
}

function groupByJob(assignments: readonly Assignment[]): Map<JobId, Assignment[]> {
  const jobs = new Map<JobId, Assignment[]>();
  for (const assignment of assignments) {
    const tasks = jobs.get(assignment.job) ?? [];
    tasks.push(assignment);
    jobs.set(assignment.job, tasks);
  }
  return jobs;
}
