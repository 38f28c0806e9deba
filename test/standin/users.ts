import type { Random } from '../../src/units/index.js';
import { Endpoint, ms } from '../../src/units/index.js';
import {
  JobKind,
  encodeJobSpec,
  type JobSpec,
  type SubmissionMessage,
} from '../../src/wire/index.js';
import { spec } from '../support/jobs.js';
import { settingsFile } from '../support/settings.js';
import type { Balancer } from './balancer.js';
import { ProcessClock, type VirtualTime } from './clock.js';
import { GangRun } from './gang-run.js';
import { REGION, type Network } from './network.js';

/** A job as its user knows it, and as the workers carry it out. */
export interface Known {
  readonly spec: JobSpec;
  readonly runMs: number;
  accepted: boolean;
  told: string;
  abortAsked: boolean;
  /** When the user was told that it is cancelled. */
  abortedAt: number | undefined;
  readonly completed: Set<number>;
  /** What its tasks do together, if it is a gang. */
  readonly gang: GangRun | undefined;
  /** When a question about it was last answered. */
  answeredAt: number;
  /** Since when it has waited beside a machine that has room for it. */
  besideRoomSince: number | undefined;
  /** The process that its user's connection is open to. */
  connection: { n: number; process: object } | undefined;
}

/** What users see of the world around them. */
export interface UsersWorld {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly network: Network;
  readonly balancer: Balancer;
  readonly zones: readonly string[];
  /** The process that a controller runs as at this moment. */
  process(n: number): object | undefined;
  completed(entry: string): void;
  rule(name: string, what: string): void;
}

/** Users, from the protocol: they submit, ask, cancel and repeat, and remember what they were told. */
export class Users {
  readonly jobs = new Map<string, Known>();
  /** Of the last questions: when, and whether they were answered. */
  asked: { at: number; ok: boolean }[] = [];
  private jobCounter = 0;
  private readonly clock: ProcessClock;

  constructor(private readonly world: UsersWorld) {
    this.clock = new ProcessClock(world.time, 0, 0);
  }

  /** Over the job's connection as long as that stands, else over a new one. */
  private async ask(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    timeout: number,
    job?: Known,
  ) {
    const open = job?.connection;
    let n =
      open && this.world.process(open.n) === open.process && !this.world.balancer.resets(open.n)
        ? open.n
        : undefined;
    const refused = new Set<number>();
    for (let tries = 0; n === undefined && tries < 3; tries++) {
      const chosen = this.world.balancer.choose(refused);
      if (chosen === undefined) break;
      if (this.world.process(chosen)) n = chosen;
      else refused.add(chosen);
    }
    const process = n === undefined ? undefined : this.world.process(n);
    if (job) job.connection = n === undefined || !process ? undefined : { n, process };
    if (n === undefined) return undefined;
    const endpoint = Endpoint(settingsFile(n, this.world.zones).api_addr);
    const client = this.world.network.client('user', REGION, this.clock);
    const o = await client.send({ endpoint, method, path, body, timeout: ms(timeout) });
    if (o.kind === 'answer') return o;
    if (job) job.connection = undefined;
    return undefined;
  }

  /** A user's job from its submission to its end; `abortAfter`: cancels it then. */
  submit(change: Partial<JobSpec>, runMs: number, abortAfter?: number): string {
    const id = `run-${String(++this.jobCounter).padStart(6, '0')}`;
    const submitted = spec({ ...change, id });
    const job: Known = {
      spec: submitted,
      gang: submitted.kind === JobKind.gang ? this.gangOf(submitted, runMs) : undefined,
      runMs,
      accepted: false,
      told: 'pending',
      abortAsked: false,
      abortedAt: undefined,
      completed: new Set(),
      answeredAt: this.world.time.now,
      besideRoomSince: undefined,
      connection: undefined,
    };
    this.jobs.set(id, job);
    this.keepSubmitting(id, job);
    if (abortAfter !== undefined) {
      this.world.time.after(abortAfter, () => this.cancel(id, job));
    }
    return id;
  }

  /** Its user calls the job off. */
  cancel(id: string, job = this.jobs.get(id)): void {
    if (!job || job.abortAsked) return;
    job.abortAsked = true;
    this.keepAborting(id, job);
  }

  private gangOf(s: JobSpec, runMs: number): GangRun {
    const facts = {
      entries: s.taskCount,
      runMs,
      saveEveryMs: s.checkpointIntervalSeconds * 1000,
      saveMs: s.checkpointSeconds * 1000,
    };
    const { gang_wait_s: wait, gang_peer_s: peer } = settingsFile(0).params.workers;
    return new GangRun(
      this.world.time,
      facts,
      { waitMs: wait * 1000, peerMs: peer * 1000 },
      {
        completed: () => {
          for (let i = 0; i < s.taskCount; i++) this.world.completed(`${s.id}/${i}`);
        },
        broken: (what) => this.world.rule('gang', `${s.id}: ${what}`),
      },
    );
  }

  private keepSubmitting(id: string, job: Known): void {
    void this.ask('POST', '/v1/jobs', encodeJobSpec(job.spec), 5000, job).then((o) => {
      if (o?.status === 201 || o?.status === 200) {
        job.accepted = true;
        job.answeredAt = this.world.time.now;
        this.tell(id, job, o.body);
        this.world.time.after(2000, () => this.keepPolling(id, job));
      } else {
        if (o?.status === 400 || o?.status === 422)
          this.world.rule('forgotten', `${id} got ${o.status}`);
        this.world.time.after(1000, () => this.keepSubmitting(id, job));
      }
    });
  }

  private keepAborting(id: string, job: Known): void {
    void this.ask('POST', `/v1/jobs/${id}/abort`, undefined, 5000, job).then((o) => {
      if (o?.status === 200) this.tell(id, job, o.body);
      else this.world.time.after(1000, () => this.keepAborting(id, job));
    });
  }

  private keepPolling(id: string, job: Known): void {
    void this.ask('GET', `/v1/jobs/${id}`, undefined, 2000, job).then((o) => {
      const ok = o?.status === 200 || o?.status === 404;
      if (ok) job.answeredAt = this.world.time.now;
      this.asked.push({ at: this.world.time.now, ok });
      if (o?.status === 404) this.world.rule('forgotten', id);
      if (o?.status === 200) this.tell(id, job, o.body);
      // Also after its end: the answer must stay.
      this.world.time.after(this.isOver(job) ? 6000 : 3000, () => this.keepPolling(id, job));
    });
  }

  private tell(id: string, job: Known, body: unknown): void {
    const status = (body as { status: string }).status;
    if (job.told === 'done' || job.told === 'aborted') {
      if (status !== job.told) this.world.rule('went_back', `${id} was ${job.told}, is ${status}`);
      return;
    }
    if (status === 'done' && job.completed.size < job.spec.taskCount) {
      this.world.rule('not_done', `${id}: ${job.completed.size} of ${job.spec.taskCount}`);
    }
    if (status === 'aborted') {
      if (!job.abortAsked) this.world.rule('went_back', `${id} was not cancelled by its user`);
      job.abortedAt = this.world.time.now;
    }
    job.told = status;
  }

  isOver(job: Known): boolean {
    return job.told === 'done' || job.told === 'aborted';
  }

  /** Jobs that have not come to their end. */
  unfinished(): string[] {
    return [...this.jobs].filter(([, j]) => !this.isOver(j)).map(([id, j]) => `${id} ${j.told}`);
  }

  /**
   * What users do that makes no sense: repeat the submission of a job that runs, cancel one that is done,
   * and submit jobs that can't run (422) or that lack a field (400).
   */
  oddRequests(): void {
    for (const [id, job] of this.jobs) {
      if (job.accepted && this.world.random() < 0.2) {
        const cancels = job.told === 'done' && this.world.random() < 0.5;
        const path = cancels ? `/v1/jobs/${id}/abort` : '/v1/jobs';
        void this.ask('POST', path, cancels ? undefined : encodeJobSpec(job.spec), 5000).then(
          (o) => {
            if (o?.status === 200) this.tell(id, job, o.body);
            if (o?.status === 400 || o?.status === 422 || o?.status === 404)
              this.world.rule('forgotten', `${id} got ${o.status} for ${path}`);
          },
        );
      }
    }
    const large = encodeJobSpec(spec({ cpus: 1000 }));
    const lacking: Partial<SubmissionMessage> = encodeJobSpec(spec({}));
    delete lacking.entries;
    for (const [body, status] of [
      [{ ...large, name_id: `run-9${String(this.jobCounter).padStart(5, '0')}` }, 422],
      [{ ...lacking, name_id: `run-8${String(this.jobCounter).padStart(5, '0')}` }, 400],
    ] as const) {
      void this.ask('POST', '/v1/jobs', body, 5000).then((o) => {
        if (o === undefined || o.status === 503 || o.status === 429 || o.status === status) return;
        this.world.rule('accepted', `${body.name_id} got ${o.status} instead of ${status}`);
      });
    }
  }

  /** Asks for a job that nobody submitted. */
  probeUnknown(): void {
    void this.ask('GET', '/v1/jobs/run-999999', undefined, 2000).then((o) => {
      if (o?.status === 200) this.world.rule('invented', 'run-999999');
    });
  }
}
