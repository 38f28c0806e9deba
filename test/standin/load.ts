import { spawn } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { NodeHttpClient } from '../../src/net/client.js';
import { Endpoint, ms, sleep } from '../../src/units/index.js';
import { systemClock } from '../../src/units/system.js';
import { encodeJobSpec, type MachineType, type JobSpec } from '../../src/wire/index.js';
import { spec } from '../support/jobs.js';
import { Loopback } from './loopback.js';

/**
 * What a controller costs: one real process among the stand-ins on loopback, with a fleet and a
 * stream of jobs of a chosen size. Two builds run one after the other are compared as a ratio, since
 * the times themselves belong to the machine that measured them.
 */
const options = new Command()
  .option('--main <file...>', 'builds to run, one after the other', ['target/main.js'])
  .option('--machines <n>', 'about how many machines the jobs keep busy', Number, 300)
  .option('--warm <s>', 'seconds before it is measured', Number, 60)
  .option('--seconds <s>', 'seconds that are measured', Number, 60)
  .option('--node <flags>', 'flags for node, such as --import FILE', '--max-semi-space-size=8')
  .parse()
  .opts<{ main: string[]; machines: number; warm: number; seconds: number; node: string }>();

const DIR = 'target/load';
/** How long the controller is away, and how long its machines may take to come back. */
const AWAY = 5000;
const MOST_BACK = 30_000;
const flavor = (name: string, vcpus: number, ram: number, hall: string): MachineType => ({
  name,
  cpus: vcpus,
  gpus: 0,
  memoryGb: ram,
  cacheGb: 30,
  fetchGbPerSecond: 2,
  onDemandPrice: vcpus * 0.05,
  spotPrice: vcpus * 0.015,
  bootSeconds: 4,
  zones: [hall],
});

/** Three kinds of jobs, as shares of the processors and how they look. */
const KINDS: readonly { share: number; runMs: number; tasks: number; change: Partial<JobSpec> }[] =
  [
    {
      share: 0.2,
      runMs: 18_000,
      tasks: 20,
      change: {
        jobClass: 'urgent',
        priority: 'high',
        cpus: 1,
        memoryGb: 1,
        expectedRuntimeSeconds: 18,
        deadlineSeconds: 50,
      },
    },
    {
      share: 0.4,
      runMs: 28_000,
      tasks: 18,
      change: {
        jobClass: 'batch',
        cpus: 4,
        memoryGb: 4,
        expectedRuntimeSeconds: 28,
        deadlineSeconds: null,
      },
    },
    {
      share: 0.4,
      runMs: 45_000,
      tasks: 15,
      change: {
        jobClass: 'sweep',
        cpus: 16,
        memoryGb: 22,
        expectedRuntimeSeconds: 45,
        deadlineSeconds: 110,
      },
    },
  ];

async function measure(main: string, turn: number): Promise<number> {
  const random = xoroshiro128plus(20261202);
  const specs = new Map<string, { spec: JobSpec; runMs: number }>();
  const completed = new Set<string>();
  const base = 21_000 + turn * 8000;
  const ports = { state: base, cloud: base + 1, api: base + 2, cluster: base + 3, workers: base };
  let started = 0;
  const loopback = new Loopback({
    ports: { ...ports, workers: base + 10 },
    flavors: [flavor('small', 8, 32, 'a'), flavor('large', 32, 64, 'b')],
    capacity: options.machines,
    state: { requestRate: 80, writeRate: 15, valueBytes: 8192, transactionOps: 8 },
    cloudRps: 2,
    jobs: {
      facts: (entry) => {
        const job = specs.get(entry.split('/')[0] ?? '');
        if (!job) return undefined;
        const { cpus, memoryGb, image, imageSizeGb } = job.spec;
        const fetchMs = imageSizeGb * 500;
        return { vcpus: cpus, ramGb: memoryGb, runMs: job.runMs, fetchMs, image };
      },
      started: () => started++,
      left: () => undefined,
      completed: (entry) => completed.add(entry),
      isCompleted: (entry) => completed.has(entry),
    },
  });
  mkdirSync(DIR, { recursive: true });
  writeFileSync(`${DIR}/node-${turn}.json`, JSON.stringify(loopback.settings()));
  const start = () =>
    spawn(
      process.execPath,
      [...options.node.split(' ').filter(Boolean), main, '--config', `${DIR}/node-${turn}.json`],
      { stdio: ['ignore', 'ignore', 'inherit'], env: { ...process.env, LOG_LEVEL: 'error' } },
    );
  let child = start();
  let over = false;
  // Processor time, in hundredths of a second, as the system counts it.
  const ticks = (): number => {
    const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return Number(fields[11]) + Number(fields[12]);
  };
  const client = new NodeHttpClient(64, 64, 64);
  const endpoint = Endpoint(`127.0.0.1:${ports.api}`);
  let n = 0;
  const submit = async (kind: (typeof KINDS)[number]): Promise<void> => {
    const id = `run-${String(++n).padStart(6, '0')}`;
    const change = { ...kind.change, id, taskCount: kind.tasks };
    const image = `${kind.change.jobClass}-${n % 4}`;
    const job = spec({ ...change, image, imageSizeGb: 1 });
    const body = encodeJobSpec(job);
    specs.set(id, { spec: job, runMs: kind.runMs });
    const path = '/v1/jobs';
    while (!over) {
      const o = await client.send({ endpoint, method: 'POST', path, body, timeout: ms(5000) });
      if (o.kind === 'answer' && o.status < 300) break;
      await sleep(systemClock, ms(1000));
    }
    while (!over) {
      await sleep(systemClock, ms(5000));
      const poll = { endpoint, method: 'GET' as const, path: `${path}/${id}`, timeout: ms(2000) };
      const o = await client.send(poll);
      if (o.kind === 'answer' && (o.body as { status?: string }).status === 'done') return;
    }
  };
  const cpus = options.machines * 12;
  const feeding = KINDS.map(async (kind) => {
    const perJob = (kind.tasks * (kind.change.cpus ?? 1) * kind.runMs) / 1000;
    const every = (1000 * perJob) / (cpus * kind.share * 0.8);
    while (!over) {
      void submit(kind);
      await sleep(systemClock, ms(every * (0.5 + uniformFloat64(random))));
    }
  });
  await sleep(systemClock, ms(options.warm * 1000));
  const reports = (): number =>
    [...loopback.running.values()].reduce((k, r) => k + r.worker.sent, 0);
  const before = { ticks: ticks(), reports: reports(), started };
  await sleep(systemClock, ms(options.seconds * 1000));
  const spent = ((ticks() - before.ticks) * 10) / options.seconds;
  const heard = (reports() - before.reports) / options.seconds;
  const begun = (started - before.started) / options.seconds;
  console.log(
    `${main}: ${loopback.running.size} machines, ${heard.toFixed(0)} reports/s, ${begun.toFixed(1)} starts/s, ` +
      `${spent.toFixed(0)} ms of processor time a second`,
  );
  // The leader changes, and all machines come back at once: what that costs until each is answered.
  child.kill('SIGKILL');
  await sleep(systemClock, ms(AWAY));
  const renewed = new Map([...loopback.running].map(([id, r]) => [id, r.worker.renewed]));
  const back = systemClock.steady();
  child = start();
  const answered = (): boolean =>
    [...loopback.running].every(([id, r]) => r.worker.renewed > (renewed.get(id) ?? 0));
  while (!answered() && systemClock.steady() - back < MOST_BACK) {
    await sleep(systemClock, ms(20));
  }
  const took = (systemClock.steady() - back) / 1000;
  console.log(
    `${main}: after a restart all are answered within ${took.toFixed(2)} s, ` +
      `for ${ticks() * 10} ms of processor time`,
  );
  over = true;
  child.kill('SIGKILL');
  for (const r of loopback.running.values()) r.worker.kill();
  await Promise.all(feeding);
  return spent;
}

const spent: number[] = [];
for (const [turn, main] of options.main.entries()) spent.push(await measure(main, turn));
const [first = 0] = spent;
for (const [turn, s] of spent.entries()) {
  if (turn > 0) console.log(`${options.main[turn]}: ${(s / first).toFixed(2)} of the first`);
}
process.exit(0);
