/**
 * Case 5: a controller that led, stood still for 30 s and was replaced meanwhile goes on to give back machines on which
 * its successor runs tasks.
 */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { now, runCase, sleep, until } from '../lib-2/cluster.mjs';

const folder = path.dirname(fileURLToPath(import.meta.url));
const MACHINES = 6;
/** As in the site files of the page that names the disruption: `node_freeze`, `for_s = 30.0`. */
const STANDSTILL_S = 30;

await runCase(path.join(folder, 'record.txt'), {}, async (cluster, isTrouble) => {
  const { cloud, record, tasks, users } = cluster;
  const broken = [];
  for (let i = 0; i < MACHINES; i++)
    cloud.add('small-boxes', cluster.options.zones[i % 3], true, false);
  cloud.capacity = MACHINES;
  await cluster.begin();

  const job = users.job('run-000001', { entries: 24, vcpus: 2, expected_s: 100 });
  const answer = await users.submit(job);
  if (answer?.status !== 201) throw new Error('the job was not accepted');
  if (!(await until(() => tasks.on.size >= 20, 20))) throw new Error('the tasks do not run');
  await sleep(5);

  /** The highest token that any worker has seen. */
  const highestToken = () =>
    Math.max(...[...cloud.machines.values()].map(({ worker }) => worker?.baton ?? 0));
  const tokenBefore = highestToken();
  let stopped;
  let resumedAt;
  cloud.onRequest = (from, method, target, body) => {
    record.write(
      `cloud: ${method} ${target} from ${from}${body?.boxes ? ` ${body.boxes.join(' ')}` : ''}`,
    );
    if (isTrouble && !stopped && target === '/machines' && method === 'GET') {
      stopped = cluster.nodes.find(({ name }) => name === from);
      cluster.stop(stopped);
    }
    if (!resumedAt || from !== stopped?.name || target !== '/machines/delete') return;
    for (const name of body.boxes) {
      const { worker } = cloud.machines.get(name);
      if (!worker || worker.isDead || worker.baton <= tokenBefore) continue;
      const running = worker.runningTasks();
      broken.push({
        rule: 'stale leader',
        text: `${from} gives back ${name} ${(now() - resumedAt).toFixed(2)} s after it went on; its worker has token ${worker.baton} of another leader and runs ${running.length} tasks`,
        token: worker.baton,
      });
    }
  };
  if (isTrouble && !(await until(() => stopped, 15))) throw new Error('no list was asked for');
  await sleep(STANDSTILL_S);
  if (isTrouble) {
    const tokenMeanwhile = highestToken();
    record.write(`token before ${tokenBefore}, issued meanwhile ${tokenMeanwhile}`);
    if (tokenMeanwhile <= tokenBefore) throw new Error('no other leader took over');
    resumedAt = now();
    cluster.resume(stopped);
  }
  await sleep(15);
  // Had the resumed node been made leader again, its token would be higher than that of its successor.
  const last = highestToken();
  return broken.filter(({ token }) => {
    if (token === last) return true;
    record.write(`a later token ${last} was issued: not counted`);
    return false;
  });
});
