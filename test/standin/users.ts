/**
 * Simulated users, as the protocol describes them: they submit, poll and cancel jobs, repeat requests, and check
 * that no response contradicts an earlier one.
 */
import type { HttpClient, HttpOutcome } from '../../src/net/http.js';
import { ms, type Endpoint, type Random } from '../../src/units/index.js';
import {
  JobKind,
  encodeJobSpec,
  type JobSpec,
  type SubmissionMessage,
} from '../../src/wire/index.js';
import { jobSpec } from '../support/job-spec.js';
import { settingsFile } from '../support/settings-file.js';
import type { LoadBalancer } from './load-balancer.js';
import { ProcessClock, type TimeSource } from './clock.js';
import { GangRun } from './gang-run.js';

/** A job with the state that its user knows and the progress of its tasks on the workers. */
export interface UserJob {
  readonly spec: JobSpec;
  readonly runMs: number;
  isAccepted: boolean;
  /** The status in the last response to its user, as the protocol names it. */
  lastStatus: string;
  isCancelRequested: boolean;
  /** When a response told the user that the job is cancelled. */
  cancelledAt: number | undefined;
  /** The indexes of the tasks that the workers have completed. */
  readonly completedTasks: Set<number>;
  /** The shared state of its tasks, if it is a gang. */
  readonly gang: GangRun | undefined;
  /** When a request about it last got a response. */
  lastResponseAt: number;
  /** Since when it has been waiting although some machine has room for it. */
  placeableSince: number | undefined;
  /** The user's open connection to a controller process. */
  connection: Connection | undefined;
}

interface Connection {
  readonly controller: number;
  readonly process: object;
}

/** The parts of the simulated cluster that users use. */
export interface UsersDependencies {
  readonly time: TimeSource;
  readonly random: Random;
  /** Creates the HTTP client of all users. */
  readonly createClient: (clock: ProcessClock) => HttpClient;
  /** The API endpoint of a controller. */
  readonly endpointOf: (controller: number) => Endpoint;
  readonly loadBalancer: LoadBalancer;
  /** All jobs by id; users add those that they submit. */
  readonly jobs: Map<string, UserJob>;
  /** The running process of a controller. */
  processOf(controller: number): object | undefined;
  onTaskCompleted(task: string): void;
  onViolation(rule: string, detail: string): void;
}

type HttpResponse = HttpOutcome & { readonly kind: 'response' };

const POST_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const RETRY_INTERVAL_MS = 1000;
const MAX_CONNECT_ATTEMPTS = 3;

/** Whether the last status that the job's user got is final. */
export const isFinished = ({ lastStatus }: UserJob): boolean =>
  lastStatus === 'done' || lastStatus === 'aborted';

/** Simulates all users. */
export class Users {
  /** The most recent polls with their times. A poll is successful if the status of its response is 200 or 404. */
  private polls: { readonly at: number; readonly isSuccessful: boolean }[] = [];
  private jobCount = 0;
  private readonly client: HttpClient;

  constructor(private readonly dependencies: UsersDependencies) {
    this.client = dependencies.createClient(new ProcessClock(dependencies.time, 0, 0));
  }

  /** Submits a job and polls it until it finishes and beyond. Cancels it after `cancelAfterMs`, if given. */
  submit(overrides: Partial<JobSpec>, runMs: number, cancelAfterMs?: number): string {
    const id = `run-${String(++this.jobCount).padStart(6, '0')}`;
    const submitted = jobSpec({ ...overrides, id });
    const job: UserJob = {
      spec: submitted,
      gang: submitted.kind === JobKind.gang ? this.createGang(submitted, runMs) : undefined,
      runMs,
      isAccepted: false,
      lastStatus: 'pending',
      isCancelRequested: false,
      cancelledAt: undefined,
      completedTasks: new Set(),
      lastResponseAt: this.dependencies.time.now,
      placeableSince: undefined,
      connection: undefined,
    };
    this.dependencies.jobs.set(id, job);
    this.submitUntilAccepted(job);
    if (cancelAfterMs !== undefined)
      this.dependencies.time.after(cancelAfterMs, () => this.cancel(id));
    return id;
  }

  /** Cancels a job as its user. */
  cancel(id: string): void {
    const job = this.dependencies.jobs.get(id);
    if (!job || job.isCancelRequested) return;
    job.isCancelRequested = true;
    this.cancelUntilConfirmed(job);
  }

  /** The unfinished jobs, each as its id and last status. */
  unfinishedJobs(): string[] {
    return [...this.dependencies.jobs]
      .filter(([, job]) => !isFinished(job))
      .map(([id, job]) => `${id} ${job.lastStatus}`);
  }

  /** Whether most polls within the last `withinMs` were successful. Discards older ones. */
  areMostPollsSuccessful(withinMs: number): boolean {
    const { now } = this.dependencies.time;
    this.polls = this.polls.filter(({ at }) => now - at < withinMs);
    return this.polls.filter(({ isSuccessful }) => isSuccessful).length * 2 > this.polls.length;
  }

  /**
   * Sends requests that are redundant or invalid: repeats the submission of a running job, cancels one that is
   * done, and submits jobs that can't run (422) or that lack a field (400).
   */
  sendUnexpectedRequests(): void {
    for (const [id, job] of this.dependencies.jobs) {
      if (job.isAccepted && this.dependencies.random() < 0.2) this.repeatRequest(id, job);
    }
    const unplaceable = encodeJobSpec(jobSpec({ cpus: 1000 }));
    const incomplete: Partial<SubmissionMessage> = encodeJobSpec(jobSpec({}));
    delete incomplete.entries;
    const suffix = String(this.jobCount).padStart(5, '0');
    this.expectRejection({ ...unplaceable, name_id: `run-9${suffix}` }, 422);
    this.expectRejection({ ...incomplete, name_id: `run-8${suffix}` }, 400);
  }

  /** Polls a job that was never submitted. */
  pollUnknownJob(): void {
    void this.sendRequest('GET', '/v1/jobs/run-999999', undefined, POLL_TIMEOUT_MS).then(
      (response) => {
        if (response?.status === 200) this.dependencies.onViolation('invented', 'run-999999');
      },
    );
  }

  // --- connections --------------------------------------------------------------------------------

  /**
   * Sends a request over the job's connection while that is open, otherwise over a new one. Resolves with
   * undefined if there is no response.
   */
  private async sendRequest(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    timeout: number,
    job?: UserJob,
  ): Promise<HttpResponse | undefined> {
    const connection = this.openConnection(job?.connection) ?? this.connect();
    if (job) job.connection = connection;
    if (!connection) return undefined;
    const endpoint = this.dependencies.endpointOf(connection.controller);
    const outcome = await this.client.send({ endpoint, method, path, body, timeout: ms(timeout) });
    if (outcome.kind === 'response') return outcome;
    if (job) job.connection = undefined;
    return undefined;
  }

  /** Returns the connection unless its process has ended or the load balancer has reset it. */
  private openConnection(connection: Connection | undefined): Connection | undefined {
    if (!connection) return undefined;
    const { controller, process } = connection;
    const isOpen =
      this.dependencies.processOf(controller) === process &&
      !this.dependencies.loadBalancer.hasResetConnections(controller);
    return isOpen ? connection : undefined;
  }

  private connect(): Connection | undefined {
    const refusingControllers = new Set<number>();
    for (let attempt = 0; attempt < MAX_CONNECT_ATTEMPTS; attempt++) {
      const controller = this.dependencies.loadBalancer.chooseBackend(refusingControllers);
      if (controller === undefined) return undefined;
      const process = this.dependencies.processOf(controller);
      if (process) return { controller, process };
      refusingControllers.add(controller);
    }
    return undefined;
  }

  // --- one job ------------------------------------------------------------------------------------

  private createGang(job: JobSpec, runMs: number): GangRun {
    const { gang_wait_s: gatherSeconds, gang_peer_s: peerSeconds } = settingsFile(0).params.workers;
    return new GangRun(
      this.dependencies.time,
      {
        taskCount: job.taskCount,
        runMs,
        checkpointIntervalMs: job.checkpointIntervalSeconds * 1000,
        checkpointMs: job.checkpointSeconds * 1000,
      },
      { gatherTimeoutMs: gatherSeconds * 1000, peerLossTimeoutMs: peerSeconds * 1000 },
      {
        onCompleted: () => {
          for (let i = 0; i < job.taskCount; i++)
            this.dependencies.onTaskCompleted(`${job.id}/${i}`);
        },
        onViolation: (detail) => this.dependencies.onViolation('gang', `${job.id}: ${detail}`),
      },
    );
  }

  private submitUntilAccepted(job: UserJob): void {
    const { time } = this.dependencies;
    const body = encodeJobSpec(job.spec);
    void this.sendRequest('POST', '/v1/jobs', body, POST_TIMEOUT_MS, job).then((response) => {
      if (response?.status === 201 || response?.status === 200) {
        job.isAccepted = true;
        job.lastResponseAt = time.now;
        this.recordStatus(job, response.body);
        time.after(2000, () => this.poll(job));
        return;
      }
      if (response?.status === 400 || response?.status === 422) {
        this.dependencies.onViolation('forgotten', `${job.spec.id} got ${response.status}`);
      }
      time.after(RETRY_INTERVAL_MS, () => this.submitUntilAccepted(job));
    });
  }

  private cancelUntilConfirmed(job: UserJob): void {
    const path = `/v1/jobs/${job.spec.id}/abort`;
    void this.sendRequest('POST', path, undefined, POST_TIMEOUT_MS, job).then((response) => {
      if (response?.status === 200) this.recordStatus(job, response.body);
      else this.dependencies.time.after(RETRY_INTERVAL_MS, () => this.cancelUntilConfirmed(job));
    });
  }

  private poll(job: UserJob): void {
    const { time } = this.dependencies;
    const { id } = job.spec;
    void this.sendRequest('GET', `/v1/jobs/${id}`, undefined, POLL_TIMEOUT_MS, job).then(
      (response) => {
        const isSuccessful = response?.status === 200 || response?.status === 404;
        if (isSuccessful) job.lastResponseAt = time.now;
        this.polls.push({ at: time.now, isSuccessful });
        if (response?.status === 404) this.dependencies.onViolation('forgotten', id);
        if (response?.status === 200) this.recordStatus(job, response.body);
        // Polling goes on after the end of the job, since its status must not change any more.
        time.after(isFinished(job) ? 6000 : 3000, () => this.poll(job));
      },
    );
  }

  /** Checks the status in a response against what is known of the job, and records it. */
  private recordStatus(job: UserJob, body: unknown): void {
    const { status } = body as { status: string };
    const { id, taskCount } = job.spec;
    if (isFinished(job)) {
      if (status !== job.lastStatus) {
        this.dependencies.onViolation('went_back', `${id} was ${job.lastStatus}, is ${status}`);
      }
      return;
    }
    if (status === 'done' && job.completedTasks.size < taskCount) {
      this.dependencies.onViolation(
        'not_done',
        `${id}: ${job.completedTasks.size} of ${taskCount}`,
      );
    }
    if (status === 'aborted') {
      if (!job.isCancelRequested) {
        this.dependencies.onViolation('went_back', `${id} was not cancelled by its user`);
      }
      job.cancelledAt = this.dependencies.time.now;
    }
    job.lastStatus = status;
  }

  // --- unexpected requests -------------------------------------------------------------------------------

  /** Submits a job again, or cancels it although it is done. */
  private repeatRequest(id: string, job: UserJob): void {
    const isCancellation = job.lastStatus === 'done' && this.dependencies.random() < 0.5;
    const path = isCancellation ? `/v1/jobs/${id}/abort` : '/v1/jobs';
    const body = isCancellation ? undefined : encodeJobSpec(job.spec);
    void this.sendRequest('POST', path, body, POST_TIMEOUT_MS).then((response) => {
      if (response?.status === 200) this.recordStatus(job, response.body);
      if (response?.status === 400 || response?.status === 422 || response?.status === 404) {
        this.dependencies.onViolation('forgotten', `${id} got ${response.status} for ${path}`);
      }
    });
  }

  private expectRejection(body: Partial<SubmissionMessage>, expectedStatus: number): void {
    void this.sendRequest('POST', '/v1/jobs', body, POST_TIMEOUT_MS).then((response) => {
      if (response === undefined || response.status === 503 || response.status === 429) return;
      if (response.status === expectedStatus) return;
      const detail = `${body.name_id ?? ''} got ${response.status} instead of ${expectedStatus}`;
      this.dependencies.onViolation('accepted', detail);
    });
  }
}
