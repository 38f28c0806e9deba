/**
 * Case 5: two zones can't reach each other for a second, while the leader's answer to a relayed poll is on its way. The
 * follower passes it on although the user has been told of the cancellation meanwhile.
 */
import path from 'node:path';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { now, runCase, sleep, until } from '../lib-2/cluster.mjs';

const folder = path.dirname(fileURLToPath(import.meta.url));
/** The site file has `zone_partition`, `mode = "hold"`, `for_s = 15.0`. */
const PARTITION_S = 1;

await runCase(
  path.join(folder, 'record.txt'),
  { hasPeerPaths: true },
  async (cluster, isTrouble) => {
    const { cloud, nodes, record, tasks, users } = cluster;
    cloud.capacity = 3;
    for (let i = 0; i < 3; i++) cloud.add('small-boxes', cluster.options.zones[i], true, false);
    // Only the leader uses the cloud.
    let leaderName;
    cloud.onRequest = (from) => (leaderName = from);
    await cluster.begin();
    const id = 'run-000001';
    const job = users.job(id, { entries: 3, expected_s: 60 });
    const answer = await users.submit(job);
    if (answer?.status !== 201) throw new Error('the job was not accepted');
    if (!(await until(() => tasks.on.size === 3, 20))) throw new Error('the tasks do not run');
    await sleep(5);

    const leader = nodes.find(({ name }) => name === leaderName);
    const follower = nodes.find((node) => node !== leader);
    const links = [follower.paths.get(leader), leader.paths.get(follower)];
    if (isTrouble)
      links[0].onPassed = (chunk) => {
        if (links[0].isHeld || !chunk.includes(id)) return;
        links[0].onPassed = () => undefined;
        for (const link of links) link.hold();
        record.write(`${follower.zone} and ${leader.zone} can't reach each other`);
        setTimeout(() => {
          for (const link of links) link.release();
          record.write(`${follower.zone} and ${leader.zone} reach each other again`);
        }, PARTITION_S * 1000);
      };
    let polledAt;
    const poll = users.poll(id, [follower]).then((response) => {
      polledAt = now();
      return response;
    });
    await sleep(0.1);
    const cancelled = await users.cancel(job, [leader]);
    const toldAt = now();
    const polled = await poll;
    if (cancelled?.body.status !== 'aborted') throw new Error('the job was not cancelled');
    record.write(
      `told "${cancelled.body.status}" at ${toldAt.toFixed(3)}; poll answered ${polled?.status} "${polled?.body?.status}" at ${polledAt.toFixed(3)}`,
    );
    await users.poll(id, [follower]);
    const isOlder = polled?.status === 200 && polled.body.status !== 'aborted' && polledAt > toldAt;
    if (!isOlder) return [];
    const later = (polledAt - toldAt).toFixed(2);
    return [
      {
        rule: 'went_back',
        text: `${follower.name} says "${polled.body.status}" ${later} s after ${leader.name} has said "aborted"`,
      },
    ];
  },
);
