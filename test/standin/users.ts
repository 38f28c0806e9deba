/**
 * Users, from the protocol: they submit, ask, cancel and repeat, and remember each answer, so that one which
 * contradicts an earlier one is noticed.
 */
import type { HttpOutcome } from '../../src/net/http.js';
import { Endpoint, ms, type Random } from '../../src/units/index.js';
import {
  JobKind,
  encodeJobSpec,
  type JobSpec,
  type SubmissionMessage,
} from '../../src/wire/index.js';
import { jobSpec } from '../support/job-spec.js';
import { settingsFile } from '../support/settings-file.js';
import type { Balancer } from './balancer.js';
import { ProcessClock, type VirtualTime } from './clock.js';
import { GangRun } from './gang-run.js';
import { REGION, type Network } from './network.js';

/** A job as its user knows it, and as the workers carry it out. */
export interface UserJob {
  readonly spec: JobSpec;
  readonly runMs: number;
  isAccepted: boolean;
  /** The status that its user was last answered, as the protocol names it. */
  lastStatus: string;
  isCancelRequested: boolean;
  /** When its user was answered that it is cancelled. */
  cancelledAt: number | undefined;
  /** The indexes of the tasks that the workers have completed. */
  readonly completed: Set<number>;
  /** What its tasks do together, if it is a gang. */
  readonly gang: GangRun | undefined;
  /** When a question about it was last answered. */
  answeredAt: number;
  /** Since when it has waited though some machine can take it. */
  placeableSince: number | undefined;
  /** The controller process that its user's connection is open to. */
  connection: Connection | undefined;
}

interface Connection {
  readonly node: number;
  readonly process: object;
}

/** What users need of the world around them. */
export interface UsersWorld {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly network: Network;
  readonly balancer: Balancer;
  readonly zones: readonly string[];
  /** All jobs by their ids; users add those that they submit. */
  readonly jobs: Map<string, UserJob>;
  /** The process that a controller runs as at this moment. */
  processOf(node: number): object | undefined;
  onTaskCompleted(task: string): void;
  onViolation(rule: string, detail: string): void;
}

type HttpAnswer = HttpOutcome & { readonly kind: 'response' };

const POST_TIMEOUT = 5000;
const POLL_TIMEOUT = 2000;
const RETRY_INTERVAL = 1000;
const MAX_CONNECT_TRIES = 3;

/** Whether the last answer to a job's user was a final one. */
export const isOver = ({ lastStatus }: UserJob): boolean =>
  lastStatus === 'done' || lastStatus === 'aborted';

/** All users. */
export class Users {
  /** The last polls: when, and whether they were answered. */
  private polls: { readonly at: number; readonly isAnswered: boolean }[] = [];
  private jobCount = 0;
  private readonly clock: ProcessClock;

  constructor(private readonly world: UsersWorld) {
    this.clock = new ProcessClock(world.time, 0, 0);
  }

  /** Submits a job, and polls it to its end and beyond. Cancels it after `cancelAfter`, if that is given. */
  submit(change: Partial<JobSpec>, runMs: number, cancelAfter?: number): string {
    const id = `run-${String(++this.jobCount).padStart(6, '0')}`;
    const submitted = jobSpec({ ...change, id });
    const job: UserJob = {
      spec: submitted,
      gang: submitted.kind === JobKind.gang ? this.createGang(submitted, runMs) : undefined,
      runMs,
      isAccepted: false,
      lastStatus: 'pending',
      isCancelRequested: false,
      cancelledAt: undefined,
      completed: new Set(),
      answeredAt: this.world.time.now,
      placeableSince: undefined,
      connection: undefined,
    };
    this.world.jobs.set(id, job);
    this.submitUntilAccepted(job);
    if (cancelAfter !== undefined) this.world.time.after(cancelAfter, () => this.cancel(id));
    return id;
  }

  /** The user of a job cancels it. */
  cancel(id: string): void {
    const job = this.world.jobs.get(id);
    if (!job || job.isCancelRequested) return;
    job.isCancelRequested = true;
    this.cancelUntilConfirmed(job);
  }

  /** Jobs that have not come to their end, each with its last status. */
  unfinished(): string[] {
    return [...this.world.jobs]
      .filter(([, job]) => !isOver(job))
      .map(([id, job]) => `${id} ${job.lastStatus}`);
  }

  /** Whether most polls were answered within the last so many milliseconds. Older ones are forgotten. */
  areMostPollsAnswered(withinMs: number): boolean {
    const { now } = this.world.time;
    this.polls = this.polls.filter(({ at }) => now - at < withinMs);
    return this.polls.filter(({ isAnswered }) => isAnswered).length * 2 > this.polls.length;
  }

  /**
   * What users do that makes no sense: repeat the submission of a running job, cancel one that is done, and
   * submit jobs that can't run (422) or that lack a field (400).
   */
  sendOddRequests(): void {
    for (const [id, job] of this.world.jobs) {
      if (job.isAccepted && this.world.random() < 0.2) this.repeatSomething(id, job);
    }
    const tooLarge = encodeJobSpec(jobSpec({ cpus: 1000 }));
    const incomplete: Partial<SubmissionMessage> = encodeJobSpec(jobSpec({}));
    delete incomplete.entries;
    const suffix = String(this.jobCount).padStart(5, '0');
    this.submitInvalid({ ...tooLarge, name_id: `run-9${suffix}` }, 422);
    this.submitInvalid({ ...incomplete, name_id: `run-8${suffix}` }, 400);
  }

  /** Asks for a job that nobody submitted. */
  askForUnknownJob(): void {
    void this.ask('GET', '/v1/jobs/run-999999', undefined, POLL_TIMEOUT).then((answer) => {
      if (answer?.status === 200) this.world.onViolation('invented', 'run-999999');
    });
  }

  // --- connections --------------------------------------------------------------------------------

  /**
   * Asks over the job's connection as long as that is open, else over a new one. Resolves with undefined
   * if there was no answer.
   */
  private async ask(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    timeout: number,
    job?: UserJob,
  ): Promise<HttpAnswer | undefined> {
    const connection = this.openConnection(job?.connection) ?? this.connect();
    if (job) job.connection = connection;
    if (!connection) return undefined;
    const endpoint = Endpoint(settingsFile(connection.node, this.world.zones).api_addr);
    const client = this.world.network.client('user', REGION, this.clock);
    const outcome = await client.send({ endpoint, method, path, body, timeout: ms(timeout) });
    if (outcome.kind === 'response') return outcome;
    if (job) job.connection = undefined;
    return undefined;
  }

  /** A connection, unless its process has ended or the balancer has reset it. */
  private openConnection(connection: Connection | undefined): Connection | undefined {
    if (!connection) return undefined;
    const { node, process } = connection;
    const isOpen = this.world.processOf(node) === process && !this.world.balancer.hasReset(node);
    return isOpen ? connection : undefined;
  }

  private connect(): Connection | undefined {
    const refused = new Set<number>();
    for (let tries = 0; tries < MAX_CONNECT_TRIES; tries++) {
      const node = this.world.balancer.choose(refused);
      if (node === undefined) return undefined;
      const process = this.world.processOf(node);
      if (process) return { node, process };
      refused.add(node);
    }
    return undefined;
  }

  // --- one job ------------------------------------------------------------------------------------

  private createGang(job: JobSpec, runMs: number): GangRun {
    const { gang_wait_s: gatherSeconds, gang_peer_s: peerSeconds } = settingsFile(0).params.workers;
    return new GangRun(
      this.world.time,
      {
        taskCount: job.taskCount,
        runMs,
        checkpointIntervalMs: job.checkpointIntervalSeconds * 1000,
        checkpointMs: job.checkpointSeconds * 1000,
      },
      { gatherMs: gatherSeconds * 1000, peerMs: peerSeconds * 1000 },
      {
        onCompleted: () => {
          for (let i = 0; i < job.taskCount; i++) this.world.onTaskCompleted(`${job.id}/${i}`);
        },
        onViolation: (detail) => this.world.onViolation('gang', `${job.id}: ${detail}`),
      },
    );
  }

  private submitUntilAccepted(job: UserJob): void {
    const { time } = this.world;
    const body = encodeJobSpec(job.spec);
    void this.ask('POST', '/v1/jobs', body, POST_TIMEOUT, job).then((answer) => {
      if (answer?.status === 201 || answer?.status === 200) {
        job.isAccepted = true;
        job.answeredAt = time.now;
        this.noteStatus(job, answer.body);
        time.after(2000, () => this.poll(job));
        return;
      }
      if (answer?.status === 400 || answer?.status === 422) {
        this.world.onViolation('forgotten', `${job.spec.id} got ${answer.status}`);
      }
      time.after(RETRY_INTERVAL, () => this.submitUntilAccepted(job));
    });
  }

  private cancelUntilConfirmed(job: UserJob): void {
    const path = `/v1/jobs/${job.spec.id}/abort`;
    void this.ask('POST', path, undefined, POST_TIMEOUT, job).then((answer) => {
      if (answer?.status === 200) this.noteStatus(job, answer.body);
      else this.world.time.after(RETRY_INTERVAL, () => this.cancelUntilConfirmed(job));
    });
  }

  private poll(job: UserJob): void {
    const { time } = this.world;
    const { id } = job.spec;
    void this.ask('GET', `/v1/jobs/${id}`, undefined, POLL_TIMEOUT, job).then((answer) => {
      const isAnswered = answer?.status === 200 || answer?.status === 404;
      if (isAnswered) job.answeredAt = time.now;
      this.polls.push({ at: time.now, isAnswered });
      if (answer?.status === 404) this.world.onViolation('forgotten', id);
      if (answer?.status === 200) this.noteStatus(job, answer.body);
      // Also after its end: the answer must stay.
      time.after(isOver(job) ? 6000 : 3000, () => this.poll(job));
    });
  }

  /** Compares the status in an answer with what is known of the job, and remembers it. */
  private noteStatus(job: UserJob, body: unknown): void {
    const { status } = body as { status: string };
    const { id, taskCount } = job.spec;
    if (isOver(job)) {
      if (status !== job.lastStatus) {
        this.world.onViolation('went_back', `${id} was ${job.lastStatus}, is ${status}`);
      }
      return;
    }
    if (status === 'done' && job.completed.size < taskCount) {
      this.world.onViolation('not_done', `${id}: ${job.completed.size} of ${taskCount}`);
    }
    if (status === 'aborted') {
      if (!job.isCancelRequested) {
        this.world.onViolation('went_back', `${id} was not cancelled by its user`);
      }
      job.cancelledAt = this.world.time.now;
    }
    job.lastStatus = status;
  }

  // --- odd requests -------------------------------------------------------------------------------

  /** Submits a job again, or cancels it though it is done. */
  private repeatSomething(id: string, job: UserJob): void {
    const cancels = job.lastStatus === 'done' && this.world.random() < 0.5;
    const path = cancels ? `/v1/jobs/${id}/abort` : '/v1/jobs';
    const body = cancels ? undefined : encodeJobSpec(job.spec);
    void this.ask('POST', path, body, POST_TIMEOUT).then((answer) => {
      if (answer?.status === 200) this.noteStatus(job, answer.body);
      if (answer?.status === 400 || answer?.status === 422 || answer?.status === 404) {
        this.world.onViolation('forgotten', `${id} got ${answer.status} for ${path}`);
      }
    });
  }

  private submitInvalid(body: Partial<SubmissionMessage>, expected: number): void {
    void this.ask('POST', '/v1/jobs', body, POST_TIMEOUT).then((answer) => {
      if (answer === undefined || answer.status === 503 || answer.status === 429) return;
      if (answer.status === expected) return;
      const detail = `${body.name_id ?? ''} got ${answer.status} instead of ${expected}`;
      this.world.onViolation('accepted', detail);
    });
  }
}
