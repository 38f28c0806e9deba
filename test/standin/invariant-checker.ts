/**
 * Checks the invariants of a simulated cluster: observes users and workers from outside, and records each
 * violation of a rule that the service must keep under any fault.
 */
import type { Settings } from '../../src/config/settings.js';
import type { JobSpec } from '../../src/wire/index.js';
import type { TimeSource } from './clock.js';
import type { Cloud, RentedMachine } from './cloud.js';
import type { WorkerOnMachine } from './machine-fleet.js';
import type { TaskRegistry } from './task-registry.js';
import { isFinished, type UserJob, type Users } from './users.js';

/** The parts of the simulated cluster that the checker observes. */
export interface CheckedCluster {
  readonly time: TimeSource;
  readonly settings: Settings;
  readonly jobs: ReadonlyMap<string, UserJob>;
  readonly tasks: TaskRegistry;
  readonly users: Users;
  readonly cloud: Cloud;
  readonly workers: ReadonlyMap<string, WorkerOnMachine>;
}

/** The longest time that a job may wait after all faults have ended, while machines have room for it. */
const MAX_PLACEABLE_WAIT_MS = 90_000;
/** The longest time that polls of one job may fail while most other polls succeed. */
const MAX_POLL_FAILURE_WHILE_OTHERS_SUCCEED_MS = 90_000;
/** The longest time that polls of a job may fail after all faults have ended. */
const MAX_POLL_FAILURE_AFTER_FAULTS_MS = 75_000;

const CANCELLATION_CHECK_INTERVAL_MS = 500;
const CHECK_INTERVAL_MS = 1000;

const isAllowedOn = (spec: JobSpec, machine: RentedMachine): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(machine.machineType)) &&
  (spec.zone === null || spec.zone === machine.zone) &&
  (spec.allowSpot || !machine.spot);

/** Checks the invariants periodically and at each start of a task. */
export class InvariantChecker {
  /** One line for each violation: the rule, the time and the details. */
  readonly violations: string[] = [];
  /** When all faults ended; undefined until then. */
  private faultsEndedAt: number | undefined;

  constructor(private readonly cluster: CheckedCluster) {}

  /** Starts the periodic checks. */
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

  /** Marks the end of all faults: from now on the invariants for a cluster without faults are checked too. */
  markFaultsEnded(): void {
    this.faultsEndedAt = this.cluster.time.now;
  }

  get haveFaultsEnded(): boolean {
    return this.faultsEndedAt !== undefined;
  }

  /** Records a violation. */
  reportViolation(rule: string, detail: string): void {
    this.violations.push(`${rule} at ${Math.round(this.cluster.time.now)}: ${detail}`);
  }

  /** Checks the start of a task. `otherMachines` already hold the task. */
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

  /** Whether a job's tasks are in one zone or spread over zones as it asks, with this task on the machine. */
  private satisfiesZoneConstraints(spec: JobSpec, machine: RentedMachine, task: string): boolean {
    const otherZones = this.zonesOf(spec.id, task);
    if (spec.singleZone && otherZones.some((zone) => zone !== machine.zone)) return false;
    const tasksInZone = otherZones.filter((zone) => zone === machine.zone).length + 1;
    return !spec.spreadZones || tasksInZone <= Math.ceil(spec.taskCount / 2);
  }

  /** The zones of a job's placed tasks, one entry for each task except one. */
  private zonesOf(job: string, exceptTask: string): string[] {
    const zones: string[] = [];
    for (const [task, machines] of this.cluster.tasks.placements()) {
      if (task === exceptTask || !task.startsWith(`${job}/`)) continue;
      for (const id of machines) zones.push(this.cluster.cloud.machines.get(id)?.zone ?? '');
    }
    return zones;
  }

  private checkQuota(team: string): void {
    const { tasks } = this.cluster;
    const maxCpus = this.maxCpusOf(team);
    let usedCpus = 0;
    for (const [task, machines] of tasks.placements())
      usedCpus += machines.size * tasks.cpusOf(task);
    if (maxCpus > 0 && usedCpus > maxCpus)
      this.reportViolation('quota', `${usedCpus} of ${maxCpus}`);
  }

  /** The most processors that a team may use; 0 for no limit. */
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
        this.reportViolation('ran_cancelled', `${task} still runs`);
    }
  }

  private checkPollResponses(): void {
    const { now } = this.cluster.time;
    const areMostPollsSuccessful = this.cluster.users.areMostPollsSuccessful(
      MAX_POLL_FAILURE_WHILE_OTHERS_SUCCEED_MS,
    );
    for (const [id, job] of this.cluster.jobs) {
      if (!job.isAccepted) continue;
      if (
        areMostPollsSuccessful &&
        now - job.lastResponseAt > MAX_POLL_FAILURE_WHILE_OTHERS_SUCCEED_MS
      ) {
        this.reportViolation('forgotten', `${id}: polls get no response while most others do`);
        job.lastResponseAt = now;
      }
      if (this.faultsEndedAt === undefined) continue;
      if (
        now - Math.max(job.lastResponseAt, this.faultsEndedAt) >
        MAX_POLL_FAILURE_AFTER_FAULTS_MS
      ) {
        this.reportViolation(
          'forgotten',
          `${id}: polls get no response although all faults have ended`,
        );
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
      this.reportViolation('left_waiting', `${id} waits although a machine has room for it`);
      job.placeableSince = undefined;
    }
  }

  /** Whether a job waits, no worker holds a task of it, and machines have enough free resources for it. */
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
    return this.countFitting(job) >= needed && (quota <= 0 || used + needed * spec.cpus <= quota);
  }

  /** Counts the tasks of a job that fit on the machines; in the best zone for a gang that must stay in one zone. */
  private countFitting({ spec, gang }: UserJob): number {
    const byZone = new Map<string, number>();
    for (const { worker, machine } of this.cluster.workers.values()) {
      if (worker.reclaimAt !== undefined || !isAllowedOn(spec, machine)) continue;
      const zone = gang && spec.singleZone ? machine.zone : '';
      const count = Math.floor(worker.freeCpus() / spec.cpus);
      byZone.set(zone, (byZone.get(zone) ?? 0) + count);
    }
    return Math.max(0, ...byZone.values());
  }
}
