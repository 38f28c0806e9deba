/**
 * Case 2: a follower ends after it has passed on a start command to a worker, and is started again. The task fails on
 * that machine and runs on another one. More than a minute later a copy of the start command arrives at the first
 * worker. The task must not start there while it is on the other machine.
 */
import { setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { Cluster, TROUBLE, Tasks, runCase, sleep, until } from '../lib/cluster.mjs';
import { kigali, submission } from '../lib/site.mjs';

/** How long after the command its copy arrives. */
const COPY_DELAY_S = 75;
/** The brief: a controller is back about 8 s after an end. */
const RESTART_S = 8;
const WATCH_S = 5;
const JOB = 'run-000001';
const TASK = `${JOB}/0`;
/** Another job, which keeps two machines in use and leaves room for one task on each. */
const OTHER_JOB = 'run-000002';

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (record, onCreated) => {
  const tasks = new Tasks(record);
  /** The first command that starts the task: the machine, the body and the time. */
  let start;
  const cluster = await Cluster.create({
    ...kigali,
    record,
    capacity: 2,
    tasks,
    // A follower, so that direct commands to the worker go through it.
    firstControllerOf: () => followerOf(cluster)?.index,
    onWorkerRequest: (machine, { path, body }) => {
      if (path !== '/commands') return;
      record.add(`${machine.id} gets POST /commands ${JSON.stringify(body)}`);
      if (body.orders.some(({ verb, entry }) => verb === 'launch' && entry === TASK))
        start ??= { machine, body, at: record.seconds };
    },
  });
  onCreated(cluster);
  cluster.start();
  await until('a leader', () => cluster.leadership(), 20);
  const leader = cluster.leadership().controller;
  const isAccepted = ({ status }) => status === 200 || status === 201;
  const run = async (job) => {
    tasks.add(job, 600_000);
    await cluster.requestUntil(isAccepted, 'POST', '/v1/jobs', job);
    const names = Array.from({ length: job.entries }, (_, index) => `${job.name_id}/${index}`);
    const areRunning = () => names.every((name) => tasks.machinesOf(name).size === 1);
    await until(`${job.name_id} runs`, areRunning, 30);
  };
  await run(submission({ name_id: OTHER_JOB, entries: 2, vcpus: 5 }));
  await run(submission({ name_id: JOB, vcpus: 3 }));
  if (start === undefined) throw new Error('the task was not started by a direct command');
  const firstMachine = start.machine.id;
  const { worker } = cluster.workers.get(firstMachine);
  const follower = followerOf(cluster);
  record.add(`${leader.name} leads; ${firstMachine} reports to ${follower.name}`);
  await sleep(1000);
  // The task fails: "mostly the machine is faulty".
  worker.tasks.exit(worker.tasks.attempts.get(`${TASK}#1`), 'error');
  if (TROUBLE) {
    cluster.signal(follower, 'SIGKILL');
    setTimeout(() => cluster.startController(follower), RESTART_S * 1000);
  }
  await until('the task runs again', () => tasks.machinesOf(TASK).size === 1, 45);
  await sleep((start.at + COPY_DELAY_S - record.seconds) * 1000);
  record.add(`${TASK} is on ${[...tasks.machinesOf(TASK)].join(' ')}`);
  record.add(`${firstMachine} reports ${JSON.stringify(worker.tasks.statuses())}`);
  if (TROUBLE) {
    // The token and the session still match, or the worker refuses it.
    const { status } = worker.handle('POST', '/commands', start.body);
    record.add(`a copy of the start command arrives at ${firstMachine}: ${status}`);
  }
  await sleep(WATCH_S * 1000);
  // Rule ran_twice: a task starts on one machine while it is on another.
  return tasks.starts
    .filter(({ machine, others }) => others.some((other) => other !== machine))
    .map(({ task, machine, others }) => `${task} starts on ${machine} while it is on ${others}`);
});

/** The controller after the leader. */
function followerOf(cluster) {
  const leader = cluster.leadership()?.controller;
  return leader && cluster.controllers[(leader.index + 1) % cluster.controllers.length];
}
