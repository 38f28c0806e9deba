/**
 * When a record that tells a later phase of its job may be written. Guards against a newer state that can be told while a
 * follower may still tell an older one, and against waits longer than a read lease.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { serviceUnavailable, type ApiResponse } from '../../src/api/api-response.js';
import { PendingAnswers } from '../../src/api/pending-answers.js';
import { JobPhase } from '../../src/ledger/job-phase.js';
import { Job, WritePriority } from '../../src/ledger/job.js';
import { ReadLeaseHold } from '../../src/leader/read-lease-hold.js';
import { ReadLeases } from '../../src/leader/read-leases.js';
import type { PeerResponse } from '../../src/peer/messages.js';
import type { Peer } from '../../src/peer/peer.js';
import { JobId, Revision, WallMs, ms, sleep, type Clock } from '../../src/units/index.js';
import { JobStatus, encodeJobState } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { jobSpec } from '../support/job-spec.js';

const JOB = JobId('run-000001');
/** For so long a follower may tell the answer to a poll; a lease lasts somewhat longer. */
const POLL_LEASE_RANGE_MS = [1200, 1300] as const;
/** The leases of an earlier leader, also on answers to cancellations. */
const MAX_LEASE_RANGE_MS = [1800, 1900] as const;
const RESPONSE_MS = 20;
const REVOKED_MS = [RESPONSE_MS, RESPONSE_MS] as const;
const AT_ONCE_MS = [0, 0] as const;
/** Long after the term began. */
const GRANTED_AT_MS = 10_000;

/** Creates a peer that responds to a notice in this way. */
type PeerBehaviour = (clock: Clock) => Peer;

const responding =
  (response: PeerResponse | undefined): PeerBehaviour =>
  (clock) => ({
    isResponsive: true,
    sendRequest: (_request, timeout) =>
      sleep(clock, response ? ms(RESPONSE_MS) : timeout).then(() => response),
  });
const givesUp = responding({ type: 'acknowledged', ok: true });
const doesNotKnowNotices = responding({ type: 'acknowledged', ok: false });
const silent = responding(undefined);
const unresponsive: PeerBehaviour = (clock) => ({ ...silent(clock), isResponsive: false });

/** A job that is in the store unless it is new, and whose change is to be written. */
function changedJob(change: 'created' | 'cancelled' | 'completed' | 'progress'): Job {
  const job = new Job(JOB, jobSpec({ taskCount: 2 }), WallMs(0), Revision(0));
  if (change === 'created') {
    job.markChanged(WritePriority.userRequest);
    return job;
  }
  job.revision = Revision(5);
  if (change === 'cancelled') job.cancel();
  else job.completeTask(0);
  if (change === 'completed') job.completeTask(1);
  return job;
}

interface HoldCase {
  readonly name: string;
  readonly peers: readonly PeerBehaviour[];
  /** The phase of an answer that a follower may still tell. */
  readonly leased?: JobPhase;
  readonly change: Parameters<typeof changedJob>[0];
  /** When the change is made. */
  readonly atMs?: number;
  /** After which time the record may be written. */
  readonly heldMs: readonly [number, number];
}

const { absent, accepted } = JobPhase;
const holdCases: HoldCase[] = [
  { name: 'no lease', peers: [silent], change: 'cancelled', heldMs: AT_ONCE_MS },
  {
    name: 'a record of the same phase as the answer',
    peers: [silent],
    leased: accepted,
    change: 'progress',
    heldMs: AT_ONCE_MS,
  },
  {
    name: 'a cancellation, and all peers give up their leases',
    peers: [givesUp, givesUp],
    leased: accepted,
    change: 'cancelled',
    heldMs: REVOKED_MS,
  },
  {
    name: 'a submission after a 404, and all peers give up their leases',
    peers: [givesUp],
    leased: absent,
    change: 'created',
    heldMs: REVOKED_MS,
  },
  {
    name: 'a completion, for which no user waits',
    peers: [givesUp],
    leased: accepted,
    change: 'completed',
    heldMs: POLL_LEASE_RANGE_MS,
  },
  {
    name: 'one peer does not respond',
    peers: [givesUp, silent],
    leased: accepted,
    change: 'cancelled',
    heldMs: POLL_LEASE_RANGE_MS,
  },
  {
    name: 'one peer has the version before, which does not know the notice',
    peers: [givesUp, doesNotKnowNotices],
    leased: accepted,
    change: 'cancelled',
    heldMs: POLL_LEASE_RANGE_MS,
  },
  {
    name: 'one peer is unresponsive',
    peers: [givesUp, unresponsive],
    leased: accepted,
    change: 'cancelled',
    heldMs: POLL_LEASE_RANGE_MS,
  },
  {
    name: 'a cancellation just after the beginning of a term',
    peers: [givesUp],
    change: 'cancelled',
    atMs: 0,
    heldMs: MAX_LEASE_RANGE_MS,
  },
  {
    name: 'a submission just after the beginning of a term',
    peers: [givesUp],
    change: 'created',
    atMs: 0,
    heldMs: AT_ONCE_MS,
  },
];

/** Holds the job's record back as the commit loop does, and returns after which time it may be written. */
async function heldTime({
  peers,
  leased,
  change,
  atMs = GRANTED_AT_MS,
}: HoldCase): Promise<number> {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const readLeases = new ReadLeases();
  const hold = new ReadLeaseHold({
    readLeases,
    peers: new Map(peers.map((behaviour, i) => [i, behaviour(clock)])),
    clock,
    log: pino({ level: 'silent' }),
  });
  await time.run(atMs);
  if (leased !== undefined) readLeases.grant(JOB, leased, 'readJob', clock.steady());
  const job = changedJob(change);
  let writtenAt = Infinity;
  const write = (): void => {
    const heldFor = hold.holdBack(job);
    if (heldFor > 0) time.after(heldFor, write);
    else writtenAt = Math.min(writtenAt, time.now);
  };
  hold.onReleased = write;
  write();
  await time.run(atMs + 5000);
  return writtenAt - atMs;
}

void test('a record of a later phase is written once no follower can tell an earlier one, and within a read lease', async () => {
  for (const holdCase of holdCases) {
    const [min, max] = holdCase.heldMs;
    const held = await heldTime(holdCase);
    assert.ok(held >= min && held <= max, `${holdCase.name}: ${held} ms`);
  }
});

void test('no poll of a job is answered as before while the record of its end is held back', () => {
  const clock = new ProcessClock(new VirtualTime(), 0, 0);
  const log = pino({ level: 'silent' });
  const readLeases = new ReadLeases();
  const hold = new ReadLeaseHold({ readLeases, peers: new Map(), clock, log });
  const cancelled = changedJob('cancelled');
  hold.holdBack(cancelled);
  assert.equal(cancelled.hasTerminalWriteInFlight, true);
  const created = changedJob('created');
  readLeases.grant(JOB, absent, 'readJob', clock.steady());
  hold.holdBack(created);
  assert.equal(created.hasTerminalWriteInFlight, false);
});

const answer = (status: JobStatus): ApiResponse => ({
  status: 200,
  body: encodeJobState({ id: JOB, status }),
});

void test('an answer that is revoked while it is determined is determined anew, and refused if that is revoked too', async () => {
  const running = answer(JobStatus.running);
  const done = answer(JobStatus.done);
  const notFound: ApiResponse = { status: 404 };
  const { ended } = JobPhase;
  const cases: [name: string, told: JobPhase, answers: ApiResponse[], expected: number][] = [
    ['an older answer, then the new one', ended, [running, done], 1],
    ['no such job, then the new one', accepted, [notFound, running], 1],
    ['an answer of the phase that is told', ended, [done, running], 0],
    ['a refusal', ended, [serviceUnavailable('overloaded'), done], 0],
    ['an older answer twice', ended, [running, running], -1],
  ];
  for (const [name, told, answers, expected] of cases) {
    const pending = new PendingAnswers();
    let asked = 0;
    const response = await pending.determine(JOB, () => {
      pending.revokeBefore(told, JOB);
      return Promise.resolve(answers[asked++]!);
    });
    assert.equal(answers.indexOf(response), expected, name);
    if (expected < 0) assert.equal(response.status, 503, name);
  }
});
