/**
 * Which controllers count as isolated. Guards against a controller that stays in the load balancer although only
 * others reach the store, and against an outage of the store that takes all controllers out of it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  assessReachability,
  type Observations,
  type Reachability,
  type ReceivedStatus,
} from '../../src/peer/reachability.js';
import { ControllerId, SteadyMs } from '../../src/units/index.js';

const NOW = 1_000_000;
const SECOND = 1000;

const secondsAgo = (age: number): SteadyMs => SteadyMs(NOW - age * SECOND);

/** A peer's latest status: its age in seconds, and whether the store responded to the peer. */
type PeerCase = readonly [age: number, storeReachable: boolean] | 'never';

interface ReachabilityCase {
  readonly name: string;
  /** Seconds since the store last responded otherwise than with 503. */
  readonly storeResponse: number;
  /** Seconds since the store last responded at all; as long as `storeResponse` by default. */
  readonly storeContact?: number;
  /** Seconds since a leader that reached the store last responded. */
  readonly leaderResponse?: number;
  /** Seconds for which the process has been running without having been suspended; an hour by default. */
  readonly running?: number;
  readonly peers: readonly PeerCase[];
  readonly expected: Reachability;
}

const HOUR = 3600;

const toStatus = (peer: PeerCase): ReceivedStatus | undefined =>
  peer === 'never'
    ? undefined
    : {
        receivedAt: secondsAgo(peer[0]),
        status: { leader: 'node-1', epoch: 7, storeReachable: peer[1] },
      };

function observationsOf(example: ReachabilityCase): Observations {
  const { storeResponse, storeContact, leaderResponse, running, peers } = example;
  return {
    now: SteadyMs(NOW),
    observingSince: secondsAgo(running ?? HOUR),
    store: {
      lastResponseAt: secondsAgo(storeResponse),
      lastContactAt: secondsAgo(storeContact ?? storeResponse),
    },
    lastLeaderResponseAt: leaderResponse === undefined ? undefined : secondsAgo(leaderResponse),
    peers: new Map(peers.map((peer, i) => [ControllerId(`node-${i + 1}`), toStatus(peer)])),
  };
}

const cases: readonly ReachabilityCase[] = [
  {
    name: 'the store responds and all peers are silent',
    storeResponse: 4,
    peers: [[60, false], 'never'],
    expected: 'connected',
  },
  {
    name: 'a cluster of one controller',
    storeResponse: 60,
    peers: [],
    expected: 'connected',
  },
  {
    name: 'the store refuses this controller only, and the leader responds',
    storeResponse: 60,
    storeContact: 0,
    leaderResponse: 1,
    peers: [
      [1, true],
      [1, true],
    ],
    expected: 'connected',
  },
  {
    name: 'the store refuses this controller only, and a failed leader is being replaced',
    storeResponse: 60,
    storeContact: 0,
    leaderResponse: 8,
    peers: [
      [8, true],
      [1, true],
    ],
    expected: 'connected',
  },
  {
    name: 'cut off from the store and the leader, but not from a follower that reaches both',
    storeResponse: 60,
    leaderResponse: 12,
    peers: [
      [12, true],
      [1, true],
    ],
    expected: 'isolated',
  },
  {
    name: 'an outage for all, and all peers respond',
    storeResponse: 60,
    storeContact: 0,
    peers: [
      [1, false],
      [1, false],
    ],
    expected: 'storeOutage',
  },
  {
    name: 'the store is silent to all, and all peers respond',
    storeResponse: 60,
    peers: [
      [1, false],
      [1, false],
    ],
    expected: 'storeOutage',
  },
  {
    name: 'an outage for all, and one peer has restarted and not responded yet',
    storeResponse: 20,
    storeContact: 0,
    peers: [
      [1, false],
      [9, false],
    ],
    expected: 'storeOutage',
  },
  {
    name: 'an outage for all in which the controllers are partitioned too',
    storeResponse: 20,
    storeContact: 0,
    peers: [
      [9, false],
      [9, false],
    ],
    expected: 'presumedOutage',
  },
  {
    name: 'the store refuses requests, and the peers have been silent for too long to tell why',
    storeResponse: 60,
    storeContact: 0,
    peers: [
      [31, false],
      [31, false],
    ],
    expected: 'isolated',
  },
  {
    name: 'the store refuses requests, and the peer heard last still reached it',
    storeResponse: 20,
    storeContact: 0,
    peers: [
      [12, false],
      [8, true],
    ],
    expected: 'isolated',
  },
  {
    name: 'the store refuses requests, and the peers last reported an earlier outage',
    storeResponse: 6,
    storeContact: 0,
    peers: [
      [8, false],
      [8, false],
    ],
    expected: 'isolated',
  },
  {
    name: 'cut off alone just after an outage for all',
    storeResponse: 30,
    storeContact: 6,
    peers: [
      [6, false],
      [6, false],
    ],
    expected: 'isolated',
  },
  {
    name: 'cut off alone during an outage that may have ended meanwhile',
    storeResponse: 20,
    storeContact: 10,
    peers: [
      [10, false],
      [10, false],
    ],
    expected: 'isolated',
  },
  {
    name: 'cut off alone without an outage',
    storeResponse: 6,
    peers: [
      [6, true],
      [6, true],
    ],
    expected: 'isolated',
  },
  {
    name: 'cut off together with one of two peers',
    storeResponse: 6,
    peers: [
      [1, false],
      [6, true],
    ],
    expected: 'isolated',
  },
  {
    name: 'cut off together with one of four peers, just after an outage for all',
    storeResponse: 30,
    storeContact: 6,
    peers: [
      [1, false],
      [6, false],
      [6, false],
      [6, false],
    ],
    expected: 'isolated',
  },
  {
    name: 'four peers, an outage for all, and two peers are down',
    storeResponse: 30,
    storeContact: 1,
    peers: [
      [1, false],
      [1, false],
      [28, false],
      [28, true],
    ],
    expected: 'storeOutage',
  },
  {
    name: 'cut off alone, and one peer has never responded',
    storeResponse: 6,
    peers: [[6, true], 'never'],
    expected: 'isolated',
  },
  {
    name: 'the first seconds after the start, before any response',
    storeResponse: 3,
    running: 3,
    peers: ['never', 'never'],
    expected: 'connected',
  },
  {
    name: 'no response at all since the start',
    storeResponse: 6,
    running: 6,
    peers: ['never', 'never'],
    expected: 'isolated',
  },
  {
    name: 'a process that has just resumed, with old observations',
    storeResponse: 30,
    running: 0,
    peers: [
      [30, true],
      [30, true],
    ],
    expected: 'connected',
  },
  {
    name: 'a process that resumed some time ago, and has had no response since',
    storeResponse: 30,
    running: 6,
    peers: [
      [30, false],
      [30, false],
    ],
    expected: 'isolated',
  },
];

for (const example of cases) {
  void test(`a controller is ${example.expected}: ${example.name}`, () => {
    assert.equal(assessReachability(observationsOf(example)), example.expected);
  });
}
