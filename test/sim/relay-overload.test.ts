/**
 * A follower whose users poll more often than the leader can answer. Guards against heartbeats that wait behind relayed
 * requests of users until workers lose their leases, and against polls that are neither answered nor refused at once.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ControllerId } from '../../src/units/index.js';
import { encode, encodeHeartbeat, type Heartbeat } from '../../src/wire/index.js';
import { BusyLeader, type LeaderCosts } from '../standin/busy-leader.js';
import { createLeaderRequestHandlers } from '../support/leader-request-handlers.js';

/** The times of the protocol. */
const HEARTBEAT_INTERVAL_MS = 3000;
const HEARTBEAT_RETRY_MS = 1000;
const WORKER_LEASE_MS = 21_000;
const POLL_INTERVAL_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const MAX_TIME_WITHOUT_ANSWER_MS = 75_000;

/** A third of 4,200 workers, and the polls of a third of 12,600 jobs: twice what the leader can answer. */
const WORKER_COUNT = 1400;
const JOB_COUNT = 4200;
const LEADER_COSTS: LeaderCosts = { userRequestMs: 2, heartbeatMs: 0.2, turnMs: 0 };
/** A leader whose event loop is behind with other work. */
const LATE_LEADER_COSTS: LeaderCosts = { ...LEADER_COSTS, turnMs: 700 };
const RUN_MS = 160_000;
/** A refusal needs nothing from the leader. */
const MAX_REFUSAL_MS = 100;

interface WorkerReport {
  expiredLeases: number;
}

interface PollReport {
  answered: number;
  refused: number;
  /** Refusals after more than `MAX_REFUSAL_MS`, or without a time to come back. */
  badRefusals: number;
  unanswered: number;
  longestWithoutAnswerMs: number;
}

type Follower = ReturnType<typeof createLeaderRequestHandlers>;

/** Creates a follower of a leader that handles requests in the order of arrival. */
function createFollower(costs: LeaderCosts): Follower {
  const follower = createLeaderRequestHandlers({ kind: 'absent' });
  follower.loseAuthority();
  follower.peers.set(ControllerId('node-0'), new BusyLeader(follower.time, follower.clock, costs));
  // The share of the store's rate is used up.
  follower.jobRecords.lookUp = () => Promise.resolve({ kind: 'unknown' });
  return follower;
}

const heartbeatOf = (machine: string, sequence: number): Heartbeat => ({
  machine,
  address: '10.1.0.1:9000',
  machineType: 'small',
  zone: 'a',
  spot: false,
  session: 1,
  sequence,
  fencingToken: 7,
  reclaimNoticeSeconds: null,
  tasks: [],
});

/** Sends the heartbeats of one worker, whose lease runs from when it sent the last one that got a response. */
function runWorker(follower: Follower, name: string, startMs: number, report: WorkerReport): void {
  const { time, workerHeartbeatHandler } = follower;
  let leaseStart = startMs;
  let sequence = 0;
  const beat = (): void => {
    const sentAt = time.now;
    if (sentAt - leaseStart > WORKER_LEASE_MS) {
      report.expiredLeases++;
      leaseStart = sentAt;
    }
    const body = encode(encodeHeartbeat(heartbeatOf(name, ++sequence)));
    void workerHeartbeatHandler.handle(body).then(({ status }) => {
      if (status === 200) leaseStart = sentAt;
      const interval = status === 200 ? HEARTBEAT_INTERVAL_MS : HEARTBEAT_RETRY_MS;
      time.after(Math.max(0, sentAt + interval - time.now), beat);
    });
  };
  time.after(startMs, beat);
}

/** Polls one job; a user stops waiting after `POLL_TIMEOUT_MS`. */
function runUser(follower: Follower, id: string, startMs: number, report: PollReport): void {
  const { time, userRequestHandler } = follower;
  let answeredAt = startMs;
  const poll = (): void => {
    const sentAt = time.now;
    time.after(POLL_INTERVAL_MS, poll);
    void userRequestHandler
      .handle('GET', `/v1/jobs/${id}`, Buffer.alloc(0))
      .then(({ status, retryAfter }) => {
        const took = time.now - sentAt;
        if (status === 503) {
          report.refused++;
          if (took > MAX_REFUSAL_MS || retryAfter === undefined) report.badRefusals++;
        } else if (took > POLL_TIMEOUT_MS) report.unanswered++;
        else {
          report.answered++;
          answeredAt = time.now;
        }
        const withoutAnswer = time.now - answeredAt;
        report.longestWithoutAnswerMs = Math.max(report.longestWithoutAnswerMs, withoutAnswer);
      });
  };
  time.after(startMs, poll);
}

/** Runs `count` clients whose first requests are spread over `intervalMs`. */
function spread(count: number, intervalMs: number, start: (i: number, at: number) => void): void {
  for (let i = 0; i < count; i++) start(i, (i * intervalMs) / count);
}

void test('workers keep their leases and every poll is answered or refused at once, with twice the polls that the leader can answer', async () => {
  const follower = createFollower(LEADER_COSTS);
  const workers: WorkerReport = { expiredLeases: 0 };
  const polls: PollReport = {
    answered: 0,
    refused: 0,
    badRefusals: 0,
    unanswered: 0,
    longestWithoutAnswerMs: 0,
  };
  spread(WORKER_COUNT, HEARTBEAT_INTERVAL_MS, (i, at) =>
    runWorker(follower, `vm-${i}`, at, workers),
  );
  spread(JOB_COUNT, POLL_INTERVAL_MS, (i, at) =>
    runUser(follower, `run-${String(i).padStart(6, '0')}`, at, polls),
  );
  await follower.time.run(RUN_MS);
  assert.equal(workers.expiredLeases, 0, 'leases that expired');
  assert.equal(polls.unanswered, 0, 'polls whose answer came too late');
  // While the follower learns what the leader can answer, a refusal may take longer.
  assert.ok(polls.badRefusals * 100 < polls.refused, JSON.stringify(polls));
  assert.ok(polls.longestWithoutAnswerMs < MAX_TIME_WITHOUT_ANSWER_MS, JSON.stringify(polls));
  assert.ok(polls.answered > 0.25 * (polls.answered + polls.refused), JSON.stringify(polls));
});

void test('workers keep their leases although each response of the leader takes most of a second', async () => {
  const follower = createFollower(LATE_LEADER_COSTS);
  const workers: WorkerReport = { expiredLeases: 0 };
  spread(WORKER_COUNT, HEARTBEAT_INTERVAL_MS, (i, at) =>
    runWorker(follower, `vm-${i}`, at, workers),
  );
  await follower.time.run(RUN_MS);
  assert.equal(workers.expiredLeases, 0, 'leases that expired');
});
