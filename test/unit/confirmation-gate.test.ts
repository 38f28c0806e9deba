/**
 * When an answer about a job may be told. Guards against a newer state that is told while a follower may still tell an older
 * one, and against waits longer than a read lease.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serviceUnavailable, type ApiResponse } from '../../src/api/api-response.js';
import { ConfirmationGate, type GateResult } from '../../src/api/confirmation-gate.js';
import { JobPhase } from '../../src/api/job-phase.js';
import { PendingAnswers } from '../../src/api/pending-answers.js';
import { ReadLeases } from '../../src/api/read-leases.js';
import type { PeerResponse } from '../../src/peer/messages.js';
import type { Peer } from '../../src/peer/peer.js';
import { SteadyMs, ms, sleep, type Clock } from '../../src/units/index.js';
import { JobStatus, encodeJobState } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

const JOB = 'run-000001';
const MAX_AGE = ms(1200);
/** A lease lasts somewhat longer than the answer may be told. */
const LEASE_RANGE_MS: [number, number] = [1200, 1300];
const RESPONSE_MS = 20;
const SETTLE_MS = 5000;
const FOREVER = SteadyMs(Infinity);

/** Creates a peer that responds to a notice in this way. */
type PeerBehaviour = (clock: Clock) => Peer;

const responding =
  (response: PeerResponse | undefined): PeerBehaviour =>
  (clock) => ({
    isResponsive: true,
    sendRequest: (_request, timeout) =>
      sleep(clock, response ? ms(RESPONSE_MS) : timeout).then(() => response),
  });
const gavesUp = responding({ type: 'acknowledged', ok: true });
const doesNotKnowNotices = responding({ type: 'acknowledged', ok: false });
const silent = responding(undefined);
const unresponsive: PeerBehaviour = (clock) => ({ ...silent(clock), isResponsive: false });

interface GateCase {
  readonly name: string;
  readonly peers: readonly PeerBehaviour[];
  /** The phase of an answer that a follower may still tell. */
  readonly leased?: JobPhase;
  readonly phase: JobPhase;
  readonly usefulMs?: number;
  readonly result: GateResult;
  /** Between which times the answer may be told, or is known to be too late. */
  readonly rangeMs: readonly [number, number];
}

const { absent, accepted, ended } = JobPhase;
const gateCases: GateCase[] = [
  { name: 'no lease', peers: [silent], phase: ended, result: 'atOnce', rangeMs: [0, 0] },
  {
    name: 'a lease on the same phase',
    peers: [silent],
    leased: accepted,
    phase: accepted,
    result: 'atOnce',
    rangeMs: [0, 0],
  },
  {
    name: 'all peers give up their leases',
    peers: [gavesUp, gavesUp],
    leased: accepted,
    phase: ended,
    result: 'afterWait',
    rangeMs: [RESPONSE_MS, RESPONSE_MS],
  },
  {
    name: 'a 404 before an accepted job',
    peers: [gavesUp],
    leased: absent,
    phase: accepted,
    result: 'afterWait',
    rangeMs: [RESPONSE_MS, RESPONSE_MS],
  },
  {
    name: 'one peer does not respond',
    peers: [gavesUp, silent],
    leased: accepted,
    phase: ended,
    result: 'afterWait',
    rangeMs: LEASE_RANGE_MS,
  },
  {
    name: 'one peer has the version before, which does not know the notice',
    peers: [gavesUp, doesNotKnowNotices],
    leased: accepted,
    phase: ended,
    result: 'afterWait',
    rangeMs: LEASE_RANGE_MS,
  },
  {
    name: 'one peer is unresponsive',
    peers: [gavesUp, unresponsive],
    leased: accepted,
    phase: ended,
    result: 'afterWait',
    rangeMs: LEASE_RANGE_MS,
  },
  {
    name: 'one peer is unresponsive, and the user does not wait that long',
    peers: [gavesUp, unresponsive],
    leased: accepted,
    phase: ended,
    usefulMs: 300,
    result: 'tooLate',
    rangeMs: [0, 0],
  },
  {
    name: 'one peer does not respond, and the user does not wait that long',
    peers: [gavesUp, silent],
    leased: accepted,
    phase: ended,
    usefulMs: 300,
    result: 'tooLate',
    rangeMs: [300, 300],
  },
];

function createGate(peers: readonly PeerBehaviour[]) {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const readLeases = new ReadLeases();
  const pendingAnswers = new PendingAnswers();
  const gate = new ConfirmationGate({
    clock,
    peers: new Map(peers.map((behaviour, i) => [i, behaviour(clock)])),
    readLeases,
    pendingAnswers,
  });
  return { time, clock, readLeases, pendingAnswers, gate };
}

void test('an answer is told once no follower can tell an earlier phase, and within a read lease', async () => {
  for (const { name, peers, leased, phase, usefulMs, result, rangeMs } of gateCases) {
    const { time, clock, readLeases, gate } = createGate(peers);
    if (leased !== undefined) readLeases.grant(JOB, leased, clock.steady(), MAX_AGE);
    const results: { result: GateResult; at: number }[] = [];
    const usefulUntil = usefulMs === undefined ? FOREVER : SteadyMs(usefulMs);
    const earlierUntil = SteadyMs(0);
    const ask = (): void =>
      void gate
        .pass({ job: JOB, phase, earlierUntil, usefulUntil, asksPeers: true })
        .then((passed) => results.push({ result: passed, at: time.now }));
    time.after(0, ask);
    await time.run(SETTLE_MS);
    const [first] = results;
    assert.equal(first?.result, result, name);
    assert.ok(first.at >= rangeMs[0] && first.at <= rangeMs[1], `${name}: ${first.at}`);
    ask();
    await time.run(SETTLE_MS + 1);
    if (usefulMs === undefined) assert.equal(results[1]?.result, 'atOnce', `${name}, again`);
  }
});

const answer = (status: JobStatus): ApiResponse => ({
  status: 200,
  body: encodeJobState({ id: JOB, status }),
});

void test('an answer that is revoked while it is determined is determined anew, and refused if that is revoked too', async () => {
  const running = answer(JobStatus.running);
  const done = answer(JobStatus.done);
  const notFound: ApiResponse = { status: 404 };
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
