/**
 * The judge of a world: watches users and workers from outside and notes each violation of a rule that the
 * service is to keep, whatever fails.
 */
import type { Settings } from '../../src/config/settings.js';
import type { JobSpec } from '../../src/wire/index.js';
import type { VirtualTime } from './clock.js';
import type { Cloud, RentedMachine } from './cloud.js';
import type { WorkerOnMachine } from './machines.js';
import type { Tasks } from './tasks.js';
import { isOver, type UserJob, type Users } from './users.js';

/** What the judge sees. */
export interface JudgedWorld {
  readonly time: VirtualTime;
  readonly settings: Settings;
  readonly jobs: ReadonlyMap<string, UserJob>;
  readonly tasks: Tasks;
  readonly users: Users;
  readonly cloud: Cloud;
  readonly workers: ReadonlyMap<string, WorkerOnMachine>;
}

/** Once all faults are over, a job waits no longer than this while some machine can take it. */
const MAX_PLACEABLE_WAIT = 90_000;
/** Questions about one job stay unanswered for at most so long while most others are answered. */
const MAX_UNANSWERED_AMONG_OTHERS = 90_000;
/** Once all faults are over, questions stay unanswered for at most so long. */
const MAX_UNANSWERED_IN_CALM = 75_000;

const CANCELLED_CHECK_INTERVAL = 500;
const CHECK_INTERVAL = 1000;

const isAllowedOn = (spec: JobSpec, machine: RentedMachine): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(machine.machineType)) &&
  (spec.zone === null || spec.zone === machine.zone) &&
  (spec.allowSpot || !machine.spot);

/** The judge. */
export class Judge {
  /** One line for each violation: the rule, when, and by what. */
  readonly violations: string[] = [];
  /** When all faults were over. */
  private calmSince: number | undefined;

  constructor(private readonly world: JudgedWorld) {}

  /** Begins to watch. */
  start(): void {
    this.every(CANCELLED_CHECK_INTERVAL, () => this.checkCancelled());
    this.every(CHECK_INTERVAL, () => this.checkAnswers());
    this.every(CHECK_INTERVAL, () => this.checkWaiting());
  }

  private every(interval: number, check: () => void): void {
    this.world.time.after(interval, () => {
      check();
      this.every(interval, check);
    });
  }

  /** All faults are over: from now on the rules for calm times hold too. */
  declareCalm(): void {
    this.calmSince = this.world.time.now;
  }

  get isCalm(): boolean {
    return this.calmSince !== undefined;
  }

  /** Notes a violation. */
  report(rule: string, detail: string): void {
    this.violations.push(`${rule} at ${Math.round(this.world.time.now)}: ${detail}`);
  }

  /** Checks a start. `others`: the machines that the task was on already. */
  checkStart(machineId: string, task: string, others: readonly string[]): void {
    if (others.length > 0 && !others.includes(machineId)) {
      this.report('ran_twice', `${task} on ${machineId} and ${others.join()}`);
    }
    const job = this.world.tasks.find(task)?.job;
    const machine = this.world.cloud.machines.get(machineId);
    if (!job || !machine) return;
    if (!isAllowedOn(job.spec, machine) || !this.keepsZones(job.spec, machine, task)) {
      this.report('wrong_place', `${task} on ${machineId}`);
    }
    if (this.isLongCancelled(job)) this.report('ran_cancelled', `${task} started`);
    this.checkQuota(job.spec.team);
  }

  /** Whether a job's tasks are together or spread as it asks for, with this one on a machine. */
  private keepsZones(spec: JobSpec, machine: RentedMachine, task: string): boolean {
    const others = this.zonesOf(spec.id, task);
    if (spec.singleZone && others.some((zone) => zone !== machine.zone)) return false;
    const inZone = others.filter((zone) => zone === machine.zone).length + 1;
    return !spec.spreadZones || inZone <= Math.ceil(spec.taskCount / 2);
  }

  /** The zones that a job's tasks are in, one for each task but this one. */
  private zonesOf(job: string, except: string): string[] {
    const zones: string[] = [];
    for (const [task, machines] of this.world.tasks.placed()) {
      if (task === except || !task.startsWith(`${job}/`)) continue;
      for (const id of machines) zones.push(this.world.cloud.machines.get(id)?.zone ?? '');
    }
    return zones;
  }

  private checkQuota(team: string): void {
    const { tasks } = this.world;
    const quota = this.quotaOf(team);
    let used = 0;
    for (const [task, machines] of tasks.placed()) used += machines.size * tasks.cpusOf(task);
    if (quota > 0 && used > quota) this.report('quota', `${used} of ${quota}`);
  }

  /** The most processors of a team; 0: no limit. */
  private quotaOf(team: string): number {
    return this.world.settings.teams.get(team)?.maxCpus ?? 0;
  }

  private isLongCancelled({ cancelledAt }: UserJob): boolean {
    const { time, settings } = this.world;
    return cancelledAt !== undefined && time.now - cancelledAt > settings.workers.cancellationTime;
  }

  private checkCancelled(): void {
    for (const [task] of this.world.tasks.placed()) {
      const job = this.world.tasks.find(task)?.job;
      if (job && this.isLongCancelled(job)) this.report('ran_cancelled', `${task} is still there`);
    }
  }

  private checkAnswers(): void {
    const { now } = this.world.time;
    const areMostAnswered = this.world.users.areMostPollsAnswered(MAX_UNANSWERED_AMONG_OTHERS);
    for (const [id, job] of this.world.jobs) {
      if (!job.isAccepted) continue;
      if (areMostAnswered && now - job.answeredAt > MAX_UNANSWERED_AMONG_OTHERS) {
        this.report('forgotten', `${id}: unanswered while others are not`);
        job.answeredAt = now;
      }
      if (this.calmSince === undefined) continue;
      if (now - Math.max(job.answeredAt, this.calmSince) > MAX_UNANSWERED_IN_CALM) {
        this.report('forgotten', `${id}: unanswered though all faults are over`);
        job.answeredAt = now;
      }
    }
  }

  private checkWaiting(): void {
    if (this.calmSince === undefined) return;
    const { now } = this.world.time;
    for (const [id, job] of this.world.jobs) {
      if (!this.isPlaceable(id, job)) job.placeableSince = undefined;
      else job.placeableSince ??= now;
      if (now - (job.placeableSince ?? now) <= MAX_PLACEABLE_WAIT) continue;
      this.report('left_waiting', `${id} though some machine can take it`);
      job.placeableSince = undefined;
    }
  }

  /** Whether machines have free resources for a job that waits and has no task anywhere. */
  private isPlaceable(id: string, job: UserJob): boolean {
    if (isOver(job) || !job.isAccepted || job.isCancelRequested) return false;
    const { spec } = job;
    let used = 0;
    for (const { worker } of this.world.workers.values()) {
      for (const task of worker.taskNames()) {
        if (task.startsWith(`${id}/`)) return false;
        used += this.world.tasks.cpusOf(task);
      }
    }
    const needed = job.gang ? spec.taskCount : 1;
    const quota = this.quotaOf(spec.team);
    return this.fittingTasks(job) >= needed && (quota <= 0 || used + needed * spec.cpus <= quota);
  }

  /** How many tasks of a job fit on the machines, in the best zone if it is a gang that keeps to one. */
  private fittingTasks({ spec, gang }: UserJob): number {
    const byZone = new Map<string, number>();
    for (const { worker, machine } of this.world.workers.values()) {
      if (worker.reclaimedAt !== undefined || !isAllowedOn(spec, machine)) continue;
      const zone = gang && spec.singleZone ? machine.zone : '';
      const count = Math.floor(worker.freeCpus() / spec.cpus);
      byZone.set(zone, (byZone.get(zone) ?? 0) + count);
    }
    return Math.max(0, ...byZone.values());
  }
}
