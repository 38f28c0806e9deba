/**
 * Case 4: a faulty machine, on which two tasks have failed, is back at once after a restart, and a repeat of a start
 * command that it had carried out follows. It starts the second task again while that runs on another machine.
 */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase, sleep, until } from '../lib-2/cluster.mjs';

const folder = path.dirname(fileURLToPath(import.meta.url));
const builds = [
  {
    name: 'small-boxes',
    vcpus: 8,
    gpus: 0,
    ram_gb: 32,
    cache_gb: 30,
    fetch_gb_per_s: 0.4,
    rate: 0.43,
    spot_price: 0.13,
    ready_s: 15,
    halls: ['serra-east', 'pampa-west', 'litoral-south'],
  },
];

await runCase(path.join(folder, 'record.txt'), { builds }, async (cluster, isTrouble) => {
  const { cloud, record, tasks, users } = cluster;
  cloud.capacity = 2;
  const machines = [0, 1].map((i) =>
    cloud.add('small-boxes', cluster.options.zones[i], true, false),
  );
  await cluster.begin();

  /** The requests to /commands that the workers have carried out, by machine. */
  const carriedOut = new Map(machines.map((machine) => [machine, []]));
  for (const machine of machines)
    machine.worker.onMessage = (kind, body) => {
      if (kind === 'commands') carriedOut.get(machine).push(body);
    };
  const machineOf = (entry) => [...tasks.on.values()].find((on) => on.entry === entry)?.machine;
  const fail = (machine, entry) => {
    for (const attempt of machine.worker.attempts.values())
      if (attempt.entry === entry && attempt.status === 'running')
        machine.worker.exit(attempt, 'error');
  };
  /** Submits a job of one task and returns the machine on which that starts. */
  const run = async (id, image) => {
    const job = users.job(id, {
      docket: 'chargeback-sweep',
      entries: 1,
      vcpus: 4,
      ram_gb: 4,
      bundle: image,
      expected_s: 100,
    });
    if ((await users.submit(job))?.status !== 201) throw new Error(`${id} was not accepted`);
    const machine = await until(() => machineOf(`${id}/0`), 20);
    if (!machine) throw new Error(`${id} does not run`);
    return machine;
  };

  // The first task fails on a faulty machine and goes on elsewhere. Twenty seconds later so does the second one.
  const faulty = await run('run-000001', 'img-01');
  await sleep(3);
  fail(faulty, 'run-000001/0');
  if (!(await until(() => machineOf('run-000001/0'), 20)))
    throw new Error('the first task was not started elsewhere');
  await sleep(20);
  const entry = 'run-000002/0';
  const isOnFaulty = (await run('run-000002', 'img-02')) === faulty;
  const start = carriedOut
    .get(faulty)
    .find(({ orders }) => orders.some((o) => o.verb === 'launch' && o.entry === entry));
  if (!isOnFaulty || !start) throw new Error('the second task was not started on the machine');
  await sleep(3);
  fail(faulty, entry);
  const other = await until(() => machineOf(entry), 20);
  if (!other || other === faulty) throw new Error('the second task was not started elsewhere');
  await sleep(1);

  if (isTrouble) {
    faulty.worker.restart();
    // The service has answered the restarted worker before the repeat arrives.
    if (!(await until(() => faulty.worker.baton > 0, 10)))
      throw new Error('no answer to the worker');
    await sleep(0.5);
    const { status } = faulty.worker.handle('POST', '/commands', { ...start, isCopy: true });
    record.write(
      `${faulty.name}: repeat of the start command with token ${start.baton}, shift ${start.shift}: ${status}; own token ${faulty.worker.baton}`,
    );
  }
  await sleep(15);
  return tasks.violations.filter(({ rule }) => rule === 'ran_twice');
});
