/**
 * The judge of a world: watches users and workers from outside and notes each violation of a rule that the
 * service is to keep, whatever fails.
 */
import type { Settings } from '../../src/config/settings.js';
import type { JobSpec } from '../../src/wire/index.js';
import type { VirtualTime } from './clock.js';
import type { Cloud, RentedMachine } from './cloud.js';
import type { WorkerOnMachine } from './machine-fleet.js';
import type { TaskRegistry } from './task-registry.js';
import { isFinished, type UserJob, type Users } from './users.js';

/** What the judge sees. */
export interface CheckedCluster {
  readonly time: VirtualTime;
  readonly settings: Settings;
  readonly jobs: ReadonlyMap<string, UserJob>;
  readonly tasks: TaskRegistry;
  readonly users: Users;
  readonly cloud: Cloud;
  readonly workers: ReadonlyMap<string, WorkerOnMachine>;
}

/** Once all faults are over, a job waits no longer than this while some machine can take it. */
const MAX_PLACEABLE_WAIT_MS = 90_000;
/** Questions about one job stay unanswered for at most so long while most others are answered. */
const MAX_UNANSWERED_WHILE_OTHERS_ANSWERED_MS = 90_000;
/** Once all faults are over, questions stay unanswered for at most so long. */
const MAX_UNANSWERED_AFTER_FAULTS_MS = 75_000;

const CANCELLATION_CHECK_INTERVAL_MS = 500;
const CHECK_INTERVAL_MS = 1000;

const isAllowedOn = (spec: JobSpec, machine: RentedMachine): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(machine.machineType)) &&
  (spec.zone === null || spec.zone === machine.zone) &&
  (spec.allowSpot || !machine.spot);

/** The judge. */
export class InvariantChecker {
  /** One line for each violation: the rule, when, and by what. */
  readonly violations: string[] = [];
  /** When all faults were over. */
  private faultsEndedAt: number | undefined;

  constructor(private readonly cluster: CheckedCluster) {}

  /** Begins to watch. */
  start(): void {
    this.checkEvery(CANCELLATION_CHECK_INTERVAL_MS, () => this.checkCancelledJobs());
    this.checkEvery(CHECK_INTERVAL_MS, () => this.checkPollResponses());
    this.checkEvery(CHECK_INTERVAL_MS, () => this.checkWaitingJobs());
  }

  private checkEvery(interval: number, check: () => void): void {
    this.cluster.time.after(interval, () => {
      check();
      this.checkEvery(interval, check);
    });
  }

  /** All faults are over: from now on the rules for calm times hold too. */
  markFaultsEnded(): void {
    this.faultsEndedAt = this.cluster.time.now;
  }

  get haveFaultsEnded(): boolean {
    return this.faultsEndedAt !== undefined;
  }

  /** Notes a violation. */
  reportViolation(rule: string, detail: string): void {
    this.violations.push(`${rule} at ${Math.round(this.cluster.time.now)}: ${detail}`);
  }

  /** Checks a start. `others`: the machines that the task was on already. */
  checkStart(machineId: string, task: string, otherMachines: readonly string[]): void {
    if (otherMachines.length > 0 && !otherMachines.includes(machineId)) {
      this.reportViolation('ran_twice', `${task} on ${machineId} and ${otherMachines.join()}`);
    }
    const job = this.cluster.tasks.find(task)?.job;
    const machine = this.cluster.cloud.machines.get(machineId);
    if (!job || !machine) return;
    if (
      !isAllowedOn(job.spec, machine) ||
      !this.satisfiesZoneConstraints(job.spec, machine, task)
    ) {
      this.reportViolation('wrong_place', `${task} on ${machineId}`);
    }
    if (this.isCancellationOverdue(job)) this.reportViolation('ran_cancelled', `${task} started`);
    this.checkQuota(job.spec.team);
  }

  /** Whether a job's tasks are together or spread as it asks for, with this one on a machine. */
  private satisfiesZoneConstraints(spec: JobSpec, machine: RentedMachine, task: string): boolean {
    const others = this.zonesOf(spec.id, task);
    if (spec.singleZone && others.some((zone) => zone !== machine.zone)) return false;
    const inZone = others.filter((zone) => zone === machine.zone).length + 1;
    return !spec.spreadZones || inZone <= Math.ceil(spec.taskCount / 2);
  }

  /** The zones that a job's tasks are in, one for each task but this one. */
  private zonesOf(job: string, except: string): string[] {
    const zones: string[] = [];
    for (const [task, machines] of this.cluster.tasks.placements()) {
      if (task === except || !task.startsWith(`${job}/`)) continue;
      for (const id of machines) zones.push(this.cluster.cloud.machines.get(id)?.zone ?? '');
    }
    return zones;
  }

  private checkQuota(team: string): void {
    const { tasks } = this.cluster;
    const quota = this.maxCpusOf(team);
    let used = 0;
    for (const [task, machines] of tasks.placements()) used += machines.size * tasks.cpusOf(task);
    if (quota > 0 && used > quota) this.reportViolation('quota', `${used} of ${quota}`);
  }

  /** The most processors of a team; 0: no limit. */
  private maxCpusOf(team: string): number {
    return this.cluster.settings.teams.get(team)?.maxCpus ?? 0;
  }

  private isCancellationOverdue({ cancelledAt }: UserJob): boolean {
    const { time, settings } = this.cluster;
    return cancelledAt !== undefined && time.now - cancelledAt > settings.workers.cancellationTime;
  }

  private checkCancelledJobs(): void {
    for (const [task] of this.cluster.tasks.placements()) {
      const job = this.cluster.tasks.find(task)?.job;
      if (job && this.isCancellationOverdue(job))
        this.reportViolation('ran_cancelled', `${task} is still there`);
    }
  }

  private checkPollResponses(): void {
    const { now } = this.cluster.time;
    const areMostAnswered = this.cluster.users.areMostPollsAnswered(
      MAX_UNANSWERED_WHILE_OTHERS_ANSWERED_MS,
    );
    for (const [id, job] of this.cluster.jobs) {
      if (!job.isAccepted) continue;
      if (areMostAnswered && now - job.lastResponseAt > MAX_UNANSWERED_WHILE_OTHERS_ANSWERED_MS) {
        this.reportViolation('forgotten', `${id}: unanswered while others are not`);
        job.lastResponseAt = now;
      }
      if (this.faultsEndedAt === undefined) continue;
      if (now - Math.max(job.lastResponseAt, this.faultsEndedAt) > MAX_UNANSWERED_AFTER_FAULTS_MS) {
        this.reportViolation('forgotten', `${id}: unanswered though all faults are over`);
        job.lastResponseAt = now;
      }
    }
  }

  private checkWaitingJobs(): void {
    if (this.faultsEndedAt === undefined) return;
    const { now } = this.cluster.time;
    for (const [id, job] of this.cluster.jobs) {
      if (!this.isPlaceable(id, job)) job.placeableSince = undefined;
      else job.placeableSince ??= now;
      if (now - (job.placeableSince ?? now) <= MAX_PLACEABLE_WAIT_MS) continue;
      this.reportViolation('left_waiting', `${id} though some machine can take it`);
      job.placeableSince = undefined;
    }
  }

  /** Whether machines have free resources for a job that waits and has no task anywhere. */
  private isPlaceable(id: string, job: UserJob): boolean {
    if (isFinished(job) || !job.isAccepted || job.isCancelRequested) return false;
    const { spec } = job;
    let used = 0;
    for (const { worker } of this.cluster.workers.values()) {
      for (const task of worker.taskNames()) {
        if (task.startsWith(`${id}/`)) return false;
        used += this.cluster.tasks.cpusOf(task);
      }
    }
    const needed = job.gang ? spec.taskCount : 1;
    const quota = this.maxCpusOf(spec.team);
    return (
      this.countFittingTasks(job) >= needed && (quota <= 0 || used + needed * spec.cpus <= quota)
    );
  }

  /** How many tasks of a job fit on the machines, in the best zone if it is a gang that keeps to one. */
  private countFittingTasks({ spec, gang }: UserJob): number {
    const byZone = new Map<string, number>();
    for (const { worker, machine } of this.cluster.workers.values()) {
      if (worker.reclaimedAt !== undefined || !isAllowedOn(spec, machine)) continue;
      const zone = gang && spec.singleZone ? machine.zone : '';
      const count = Math.floor(worker.freeCpus() / spec.cpus);
      byZone.set(zone, (byZone.get(zone) ?? 0) + count);
    }
    return Math.max(0, ...byZone.values());
  }
}
