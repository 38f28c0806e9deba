/**
 * A load benchmark: measures the processor time of one real controller process that runs with the simulated
 * services on loopback, with a fleet and streams of jobs of a chosen size. Several builds run one after the other
 * and are compared as a ratio, since the times themselves depend on the machine that runs the benchmark.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { PooledHttpClient } from '../../src/net/pooled-http-client.js';
import { Endpoint, ms, sleep } from '../../src/units/index.js';
import { systemClock } from '../../src/units/system-clock.js';
import { encodeJobSpec, type MachineType, type JobSpec } from '../../src/wire/index.js';
import { jobSpec } from '../support/job-spec.js';
import { LoopbackServices } from './loopback-services.js';
import type { TaskProperties } from './worker-tasks.js';

const options = new Command()
  .option('--main <file...>', 'builds to run, one after the other', ['target/main.js'])
  .option('--machines <n>', 'approximate number of machines that the jobs keep busy', Number, 300)
  .option('--warm <s>', 'seconds before the measurement', Number, 60)
  .option('--seconds <s>', 'seconds of the measurement', Number, 60)
  .option('--runtime <factor>', 'factor for the runtimes of the jobs', Number, 1)
  .option('--node <flags>', 'flags for Node.js, such as --import FILE', '--max-semi-space-size=8')
  .parse()
  .opts<{
    main: string[];
    machines: number;
    warm: number;
    seconds: number;
    runtime: number;
    node: string;
  }>();

const OUTPUT_FOLDER = 'target/load';
const SEED = 20261202;
/** How long the controller is down, and the longest time to wait until all workers have their leases renewed. */
const CONTROLLER_DOWN_MS = 5000;
const MAX_RECOVERY_MS = 30_000;
const FIRST_PORT = 21_000;
const PORTS_PER_BUILD = 8000;
/** The average number of processors of a machine, and the share of them that the jobs keep busy. */
const CPUS_PER_MACHINE = 12;
const BUSY_CPU_SHARE = 0.8;
const FETCH_MS_PER_GB = 500;
const SUBMIT_TIMEOUT = ms(5000);
const SUBMIT_RETRY_INTERVAL = ms(1000);
const POLL_INTERVAL = ms(5000);
const POLL_TIMEOUT = ms(2000);
const RECOVERY_CHECK_INTERVAL = ms(20);
/** Linux counts processor time in ticks of a hundredth of a second. */
const MS_PER_CPU_TICK = 10;

const machineType = (name: string, cpus: number, memoryGb: number, zone: string): MachineType => ({
  name,
  cpus,
  gpus: 0,
  memoryGb,
  cacheGb: 30,
  fetchGbPerSecond: 2,
  onDemandPrice: cpus * 0.05,
  spotPrice: cpus * 0.015,
  bootSeconds: 4,
  zones: [zone],
});

/** A stream of similar jobs: its share of the busy processors, and the jobs' runtime and specification. */
interface JobStream {
  readonly share: number;
  readonly runMs: number;
  readonly spec: Partial<JobSpec> & Pick<JobSpec, 'jobClass' | 'cpus' | 'taskCount'>;
}

const STREAMS: readonly JobStream[] = [
  {
    share: 0.2,
    runMs: 18_000,
    spec: {
      jobClass: 'urgent',
      priority: 'high',
      taskCount: 20,
      cpus: 1,
      memoryGb: 1,
      expectedRuntimeSeconds: 18,
      deadlineSeconds: 50,
    },
  },
  {
    share: 0.4,
    runMs: 28_000,
    spec: {
      jobClass: 'batch',
      taskCount: 18,
      cpus: 4,
      memoryGb: 4,
      expectedRuntimeSeconds: 28,
      deadlineSeconds: null,
    },
  },
  {
    share: 0.4,
    runMs: 45_000,
    spec: {
      jobClass: 'sweep',
      taskCount: 15,
      cpus: 16,
      memoryGb: 22,
      expectedRuntimeSeconds: 45,
      deadlineSeconds: 110,
    },
  },
];

const runtimeOf = ({ runMs }: JobStream): number => runMs * options.runtime;

/** The benchmark of one build. */
class BenchmarkRun {
  private readonly random = xoroshiro128plus(SEED);
  private readonly submittedJobs = new Map<
    string,
    { readonly spec: JobSpec; readonly runMs: number }
  >();
  private readonly completedTasks = new Set<string>();
  private readonly client = new PooledHttpClient(64, 64, 64);
  private readonly endpoint: Endpoint;
  private readonly settingsPath: string;
  private readonly services: LoopbackServices;
  private child: ChildProcess;
  private startedTaskCount = 0;
  private hasEnded = false;

  constructor(
    private readonly buildPath: string,
    buildIndex: number,
  ) {
    const store = FIRST_PORT + buildIndex * PORTS_PER_BUILD;
    const ports = { store, cloud: store + 1, api: store + 2, cluster: store + 3 };
    this.endpoint = Endpoint(`127.0.0.1:${ports.api}`);
    this.settingsPath = `${OUTPUT_FOLDER}/node-${buildIndex}.json`;
    this.services = new LoopbackServices({
      ports: { ...ports, workers: store + 10 },
      machineTypes: [machineType('small', 8, 32, 'a'), machineType('large', 32, 64, 'b')],
      capacity: options.machines,
      storeLimits: { requestRate: 80, writeRate: 15, valueBytes: 8192, transactionOps: 8 },
      cloudRequestRate: 2,
      taskEnvironment: {
        propertiesOf: (task) => this.propertiesOf(task),
        onTaskStarted: () => this.startedTaskCount++,
        onTaskLeft: () => undefined,
        onTaskCompleted: (task) => this.completedTasks.add(task),
        isCompleted: (task) => this.completedTasks.has(task),
      },
    });
    mkdirSync(OUTPUT_FOLDER, { recursive: true });
    writeFileSync(this.settingsPath, JSON.stringify(this.services.settingsFile()));
    this.child = this.startController();
  }

  /** Measures the build. Resolves with the processor time in milliseconds that it used per second. */
  async measure(): Promise<number> {
    const submissions = STREAMS.map((stream) => this.submitStream(stream));
    const cpuMsPerSecond = await this.measureSteadyLoad();
    await this.measureRestart();
    this.hasEnded = true;
    this.child.kill('SIGKILL');
    this.services.killWorkers();
    await Promise.all(submissions);
    return cpuMsPerSecond;
  }

  private async measureSteadyLoad(): Promise<number> {
    const { seconds, warm } = options;
    await sleep(systemClock, ms(warm * 1000));
    const before = {
      cpuTicks: this.cpuTicks(),
      heartbeats: this.heartbeatCount(),
      startedTasks: this.startedTaskCount,
    };
    await sleep(systemClock, ms(seconds * 1000));
    const cpuMsPerSecond = ((this.cpuTicks() - before.cpuTicks) * MS_PER_CPU_TICK) / seconds;
    const heartbeatsPerSecond = (this.heartbeatCount() - before.heartbeats) / seconds;
    const startsPerSecond = (this.startedTaskCount - before.startedTasks) / seconds;
    console.log(
      `${this.buildPath}: ${this.services.workers.size} machines, ${heartbeatsPerSecond.toFixed(0)} heartbeats/s ` +
        `with ${this.meanReportedAttempts().toFixed(2)} attempts each, ` +
        `${startsPerSecond.toFixed(1)} starts/s, ${cpuMsPerSecond.toFixed(0)} ms of processor time a second, ` +
        `${this.residentMegabytes().toFixed(0)} MB resident`,
    );
    return cpuMsPerSecond;
  }

  /** Measures how long a restarted controller takes to renew the leases of all workers, which send heartbeats at once. */
  private async measureRestart(): Promise<void> {
    const { workers } = this.services;
    this.child.kill('SIGKILL');
    await sleep(systemClock, ms(CONTROLLER_DOWN_MS));
    const before = new Map([...workers].map(([id, { worker }]) => [id, worker.renewalCount]));
    const startedAt = systemClock.steady();
    this.child = this.startController();
    const areAllRenewed = (): boolean =>
      [...workers].every(([id, { worker }]) => worker.renewalCount > (before.get(id) ?? 0));
    while (!areAllRenewed() && systemClock.steady() - startedAt < MAX_RECOVERY_MS) {
      await sleep(systemClock, RECOVERY_CHECK_INTERVAL);
    }
    const seconds = (systemClock.steady() - startedAt) / 1000;
    console.log(
      `${this.buildPath}: after a restart all leases are renewed within ${seconds.toFixed(2)} s, ` +
        `for ${this.cpuTicks() * MS_PER_CPU_TICK} ms of processor time`,
    );
  }

  private startController(): ChildProcess {
    const flags = options.node.split(' ').filter(Boolean);
    return spawn(process.execPath, [...flags, this.buildPath, '--config', this.settingsPath], {
      stdio: ['ignore', 'ignore', 'inherit'],
      env: { ...process.env, LOG_LEVEL: 'error' },
    });
  }

  /** The processor time that the controller has used so far, in ticks. */
  private cpuTicks(): number {
    const stat = readFileSync(`/proc/${this.child.pid ?? 0}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return Number(fields[11]) + Number(fields[12]);
  }

  private residentMegabytes(): number {
    const status = readFileSync(`/proc/${this.child.pid ?? 0}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / 1024;
  }

  /** How many attempts a worker reports on average, including those that have exited. */
  private meanReportedAttempts(): number {
    const workers = [...this.services.workers.values()];
    const attempts = workers.reduce(
      (sum, { worker }) => sum + worker.reportedTaskNames().length,
      0,
    );
    return attempts / workers.length;
  }

  private heartbeatCount(): number {
    return [...this.services.workers.values()].reduce(
      (sum, { worker }) => sum + worker.heartbeatCount,
      0,
    );
  }

  private propertiesOf(task: string): TaskProperties | undefined {
    const job = this.submittedJobs.get(task.split('/')[0] ?? '');
    if (!job) return undefined;
    const { cpus, image, imageSizeGb } = job.spec;
    return { cpus, runMs: job.runMs, fetchMs: imageSizeGb * FETCH_MS_PER_GB, image };
  }

  /** Submits jobs of a stream at the rate at which its share of the processors runs them. */
  private async submitStream(stream: JobStream): Promise<void> {
    const { taskCount, cpus } = stream.spec;
    const cpuSecondsPerJob = (taskCount * cpus * runtimeOf(stream)) / 1000;
    const busyCpus = options.machines * CPUS_PER_MACHINE * stream.share * BUSY_CPU_SHARE;
    const intervalMs = (1000 * cpuSecondsPerJob) / busyCpus;
    while (!this.hasEnded) {
      void this.runJob(stream);
      await sleep(systemClock, ms(intervalMs * (0.5 + uniformFloat64(this.random))));
    }
  }

  /** Submits a job and polls it until it finishes. */
  private async runJob(stream: JobStream): Promise<void> {
    const { endpoint, client } = this;
    const number = this.submittedJobs.size + 1;
    const id = `run-${String(number).padStart(6, '0')}`;
    const image = `${stream.spec.jobClass}-${number % 4}`;
    const job = jobSpec({ ...stream.spec, id, image, imageSizeGb: 1 });
    const body = encodeJobSpec(job);
    const path = '/v1/jobs';
    this.submittedJobs.set(id, { spec: job, runMs: runtimeOf(stream) });
    while (!this.hasEnded) {
      const submission = { endpoint, method: 'POST' as const, path, body, timeout: SUBMIT_TIMEOUT };
      const outcome = await client.send(submission);
      if (outcome.kind === 'response' && outcome.status < 300) break;
      await sleep(systemClock, SUBMIT_RETRY_INTERVAL);
    }
    while (!this.hasEnded) {
      await sleep(systemClock, POLL_INTERVAL);
      const poll = {
        endpoint,
        method: 'GET' as const,
        path: `${path}/${id}`,
        timeout: POLL_TIMEOUT,
      };
      const outcome = await client.send(poll);
      if (outcome.kind !== 'response') continue;
      if ((outcome.body as { status?: string }).status === 'done') return;
    }
  }
}

const cpuMsPerSecondByBuild: number[] = [];
for (const [buildIndex, main] of options.main.entries()) {
  cpuMsPerSecondByBuild.push(await new BenchmarkRun(main, buildIndex).measure());
}
const [baseline = 0] = cpuMsPerSecondByBuild;
for (const [buildIndex, cpuMsPerSecond] of cpuMsPerSecondByBuild.entries()) {
  if (buildIndex > 0)
    console.log(
      `${options.main[buildIndex] ?? ''}: ${(cpuMsPerSecond / baseline).toFixed(2)} of the first`,
    );
}
process.exit(0);
