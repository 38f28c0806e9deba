/**
 * Answers about a job that are on their way while a newer one is told elsewhere: relayed by a follower, or read in the store.
 * Guards against a user who is told that a job is not accepted, or that it runs, after it was accepted, done or cancelled.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ms } from '../../src/units/index.js';
import { encodeJobSpec } from '../../src/wire/index.js';
import { ProcessClock } from '../standin/clock.js';
import { ClusterSettings, STORE_ADDRESS } from '../standin/cluster-settings.js';
import { NO_ZONE } from '../standin/network.js';
import { SimulatedCluster } from '../standin/simulated-cluster.js';
import { jobSpec } from '../support/job-spec.js';

const SEEDS = [1, 2, 3, 4, 5];
/** The times of the protocol for which users wait, and after which they repeat a cancellation. */
const POLL_TIMEOUT = ms(2000);
const REQUEST_TIMEOUT = ms(5000);
const RETRY_MS = 1000;
/** The longest time for which a message to a user is in transit in the simulated network. */
const MAX_TRANSIT_MS = 5;
/** Within the time for which a follower waits for the leader. */
const HELD_MS = 1150;
/** Within the time for which a follower uses what it has read in the store. */
const HELD_READ_MS = 235;
/** The network delivers any message within this time if nothing holds it. */
const DELIVERY_MS = 20;
/** A few messages, and the time for which any controller may tell what it has read in the store. */
const MAX_CONFIRMATION_MS = 5 * DELIVERY_MS + 300;
/** A controller that is back at once leads again, and has read the records, within this time. */
const RECOVERY_MS = 100;
/** Longer than any message is held, and than users wait. */
const SETTLE_MS = 12_000;
const JOB_RUN_MS = 2_000_000;
/** No user has submitted this job. */
const NEW_JOB = 'run-900001';

/** The order of the states that users are told; a 404 has rank 0. A later rank must not be followed by an earlier one. */
const RANKS: Readonly<Record<string, number>> = { pending: 1, running: 1, done: 2, aborted: 2 };

interface Told {
  readonly at: number;
  readonly text: string;
  readonly rank: number;
}

/** A job that runs in a cluster whose leader and followers are known, and all that its user is told. */
class Scene {
  readonly told: Told[] = [];
  private readonly settings = new ClusterSettings({});
  private readonly user;

  constructor(
    readonly cluster: SimulatedCluster,
    readonly job: string,
    readonly leader: number,
    readonly follower: number,
    readonly otherFollower: number,
  ) {
    this.user = cluster.network.client('user', NO_ZONE, new ProcessClock(cluster.time, 0, 0));
  }

  /** The peer address of a controller. */
  peerAddress(controller: number): string {
    return this.settings.of(controller).peerEndpoint;
  }

  /** The name under which a controller sends its requests. */
  nameOf(controller: number): string {
    return this.settings.of(controller).controllerId;
  }

  poll(controller: number, job = this.job): void {
    void this.ask(controller, 'GET', `/v1/jobs/${job}`);
  }

  submit(controller: number, job = this.job): void {
    const spec = this.cluster.jobs.get(job)?.spec ?? jobSpec({ id: job });
    void this.ask(controller, 'POST', '/v1/jobs', encodeJobSpec(spec));
  }

  /** Cancels the job, and repeats that until it is confirmed. */
  cancel(controller: number): void {
    const userJob = this.cluster.jobs.get(this.job);
    if (userJob) userJob.isCancelRequested = true;
    void this.ask(controller, 'POST', `/v1/jobs/${this.job}/abort`).then((status) => {
      if (status !== 200) this.cluster.time.after(RETRY_MS, () => this.cancel(controller));
    });
  }

  private async ask(
    controller: number,
    method: 'GET' | 'POST',
    path: string,
    body?: object,
  ): Promise<number | undefined> {
    const outcome = await this.user.send({
      endpoint: this.settings.of(controller).apiEndpoint,
      method,
      path,
      ...(body && { body }),
      timeout: method === 'GET' ? POLL_TIMEOUT : REQUEST_TIMEOUT,
    });
    if (outcome.kind !== 'response') return undefined;
    const { status } = outcome;
    const { status: jobStatus } = (outcome.body ?? {}) as { status?: string };
    const rank = status === 404 ? 0 : RANKS[jobStatus ?? ''];
    const text = `${method} ${path} at ${controller}: ${status} ${jobStatus ?? ''}`;
    if (rank !== undefined) this.told.push({ at: this.cluster.time.now, text, rank });
    return status;
  }

  /** Holds back the leader's responses to a follower that leave now. */
  holdResponsesToFollower(heldMs: number): void {
    const [from, to] = [this.nameOf(this.follower), this.peerAddress(this.leader)];
    this.cluster.network.extraResponseDelayMs = (sender, address) =>
      sender === from && address === to ? heldMs : 0;
  }

  /** Holds back the leader's requests to a follower too, as if their zones could not reach each other for a while. */
  holdRequestsToFollower(heldMs: number): void {
    const address = this.peerAddress(this.follower);
    this.cluster.network.extraDelayMs = (to) => (to === address ? heldMs : 0);
  }

  /** From now on, messages take their usual time. */
  holdNothing(): void {
    this.cluster.network.extraResponseDelayMs = undefined;
    this.cluster.network.extraDelayMs = undefined;
  }

  /** The answers that were older than one that had been told before. */
  get outdated(): string[] {
    return this.told
      .filter(({ at, rank }) =>
        this.told.some((other) => other.rank > rank && other.at + MAX_TRANSIT_MS < at),
      )
      .map(({ at, text }) => `${text} at ${Math.round(at)}`);
  }

  /** How long after `since` the user was told that the job has ended. */
  endToldAfter(since: number): number {
    return (this.told.find(({ rank }) => rank === 2)?.at ?? Infinity) - since;
  }
}

async function createScene(seed: number): Promise<Scene> {
  const cluster = new SimulatedCluster({ seed: 7000 + seed });
  cluster.cloud.bootFailureShare = 0;
  await cluster.run(3000);
  const job = cluster.users.submit({ taskCount: 2 }, JOB_RUN_MS);
  await cluster.run(60_000);
  assert.ok(cluster.machinesOf(job).length > 0, 'the job runs');
  const leader = cluster.leader() ?? 0;
  return new Scene(cluster, job, leader, (leader + 1) % 3, (leader + 2) % 3);
}

/** Ends all tasks of the scene's job as if by themselves. */
function completeTasks({ cluster, job }: Scene): void {
  for (const { worker } of cluster.workers.values()) {
    for (const task of worker.taskNames()) {
      if (task.startsWith(`${job}/`)) worker.endTask(task, 'done');
    }
  }
}

/** Asks again and again while a message may be held. */
async function askRepeatedly({ cluster }: Scene, ask: () => void): Promise<void> {
  const end = cluster.time.now + HELD_MS;
  while (cluster.time.now < end) {
    ask();
    await cluster.run(DELIVERY_MS);
  }
}

interface Case {
  readonly name: string;
  /** Begins with the scene, and returns once the older answer may arrive. */
  readonly run: (scene: Scene) => Promise<void>;
}

/** A follower's user asks, and the leader's answer is held back. */
async function askAndHold(scene: Scene, ask: () => void, holdsRequests: boolean): Promise<void> {
  scene.holdResponsesToFollower(HELD_MS);
  if (holdsRequests) scene.holdRequestsToFollower(HELD_MS);
  ask();
  await scene.cluster.run(DELIVERY_MS);
}

const cases: Case[] = [
  {
    name: 'a relayed poll, and a cancellation at the leader',
    run: async (scene) => {
      await askAndHold(scene, () => scene.poll(scene.follower), true);
      scene.cancel(scene.leader);
    },
  },
  {
    name: 'a relayed poll, and a cancellation at another follower',
    run: async (scene) => {
      await askAndHold(scene, () => scene.poll(scene.follower), true);
      scene.cancel(scene.otherFollower);
    },
  },
  {
    name: 'a relayed repeat of the submission, and a cancellation at the leader',
    run: async (scene) => {
      await askAndHold(scene, () => scene.submit(scene.follower), true);
      scene.cancel(scene.leader);
    },
  },
  {
    name: 'a relayed poll, and the end of the job',
    run: async (scene) => {
      const { follower, leader, otherFollower } = scene;
      completeTasks(scene);
      scene.holdRequestsToFollower(HELD_MS);
      scene.holdResponsesToFollower(HELD_MS);
      // The moment at which the end is known is not.
      await askRepeatedly(scene, () => {
        for (const controller of [follower, leader, otherFollower]) scene.poll(controller);
      });
    },
  },
  {
    name: 'a relayed poll, and a cancellation whose state another follower reads in the store',
    run: async (scene) => {
      const { cluster, follower, leader, otherFollower } = scene;
      cluster.network.setConnectionsRefused(scene.peerAddress(leader), true);
      scene.poll(otherFollower);
      await cluster.run(DELIVERY_MS);
      cluster.network.setConnectionsRefused(scene.peerAddress(leader), false);
      await askAndHold(scene, () => scene.poll(follower), true);
      cluster.network.setConnectionsRefused(scene.peerAddress(leader), true);
      scene.cancel(leader);
      await askRepeatedly(scene, () => scene.poll(otherFollower));
      cluster.network.setConnectionsRefused(scene.peerAddress(leader), false);
    },
  },
  {
    name: 'a poll that is read in the store, and a cancellation at the leader',
    run: async (scene) => {
      const { cluster, follower, leader } = scene;
      const from = scene.nameOf(follower);
      cluster.network.setConnectionsRefused(scene.peerAddress(leader), true);
      cluster.network.extraResponseDelayMs = (sender, address) =>
        sender === from && address === STORE_ADDRESS ? HELD_READ_MS : 0;
      scene.poll(follower);
      await cluster.run(DELIVERY_MS);
      scene.cancel(leader);
      await cluster.run(HELD_READ_MS);
      cluster.network.setConnectionsRefused(scene.peerAddress(leader), false);
    },
  },
  {
    name: 'a relayed poll, and a cancellation at a leader that ends and is back at once',
    run: async (scene) => {
      const { cluster, follower, leader } = scene;
      await askAndHold(scene, () => scene.poll(follower), true);
      scene.cancel(leader);
      await cluster.run(DELIVERY_MS);
      cluster.killController(leader);
      cluster.startController(leader);
      await cluster.run(RECOVERY_MS);
      await askRepeatedly(scene, () => scene.poll(leader));
    },
  },
  {
    name: 'a relayed poll of a job that is accepted by the leader meanwhile',
    run: async (scene) => {
      await askAndHold(scene, () => scene.poll(scene.follower, NEW_JOB), true);
      scene.submit(scene.leader, NEW_JOB);
      await scene.cluster.run(HELD_MS);
    },
  },
];

for (const { name, run } of cases) {
  void test(`no user is told an older state of a job after a newer one: ${name}`, async () => {
    for (const seed of SEEDS) {
      const scene = await createScene(seed);
      await run(scene);
      await scene.cluster.run(HELD_MS);
      scene.holdNothing();
      await scene.cluster.run(SETTLE_MS);
      assert.deepEqual(scene.outdated, [], `seed ${seed}`);
      assert.ok(
        scene.told.some(({ rank }) => rank > 0),
        `seed ${seed}: the user gets an answer`,
      );
      assert.deepEqual(
        scene.cluster.violations.filter((violation) => !violation.includes(NEW_JOB)),
        [],
        `seed ${seed}`,
      );
    }
  });
}

void test('a cancellation waits only as long as a follower takes to give up what the leader had answered it', async () => {
  for (const seed of SEEDS) {
    const scene = await createScene(seed);
    await askAndHold(scene, () => scene.poll(scene.follower), false);
    scene.holdNothing();
    const cancelledAt = scene.cluster.time.now;
    scene.cancel(scene.leader);
    await scene.cluster.run(SETTLE_MS);
    assert.ok(scene.endToldAfter(cancelledAt) < MAX_CONFIRMATION_MS, `seed ${seed}`);
    assert.deepEqual(scene.outdated, [], `seed ${seed}`);
    const [poll] = scene.told.filter(({ text }) => text.startsWith('GET'));
    assert.equal(poll?.rank, 2, `seed ${seed}: the poll is answered with the newer state`);
  }
});
