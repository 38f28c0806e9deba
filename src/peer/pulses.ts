import { ms, since, seconds, type Clock, type NodeId, type SteadyMs } from '../units/index.js';
import type { Peer } from './channel.js';
import { decodePulse, encodePulse, type Pulse } from './frames.js';

const PING_EVERY = ms(1000);
const PING_TIMEOUT = ms(800);
/** After this long without a word from anybody who could serve, a node counts itself as alone. */
const ALONE_AFTER = seconds(5);
/** So long the word of another node that the state service is out for it too is believed. */
const OUTAGE_WORD = seconds(30);

/** What another node said last, and when. */
export interface Word {
  readonly at: SteadyMs;
  readonly pulse: Pulse;
}

/**
 * Whether a node can serve nobody because it is cut off itself: no word from the state service, nor
 * from any other node. When the state service is out for all, the others say so, and all stay.
 */
export function isAlone(
  now: SteadyMs,
  storeServed: SteadyMs,
  words: readonly (Word | undefined)[],
): boolean {
  if (words.length === 0 || since(storeServed, now) < ALONE_AFTER) return false;
  for (const w of words) {
    if (!w) continue;
    const age = since(w.at, now);
    if (age < ALONE_AFTER) return false;
    // The last that was heard is that the state service was out for the other one as well.
    if (!w.pulse.store && w.at > storeServed && age < OUTAGE_WORD) return false;
  }
  return true;
}

/**
 * Pings the other nodes, so that one that fell silent is known before a user's request depends on it,
 * and so that a node that the state service does not serve still learns who leads.
 */
export class Pulses {
  private readonly words = new Map<NodeId, Word>();
  private stopped = false;

  constructor(
    private readonly peers: ReadonlyMap<NodeId, Peer>,
    private readonly clock: Clock,
    private readonly own: () => Pulse,
    private readonly heard: (pulse: Pulse) => void,
  ) {}

  /** The last leader's word on how workers report; it holds until another leader says otherwise. */
  spread = false;

  start(): void {
    for (const [node, peer] of this.peers) this.keep(node, peer);
  }

  stop(): void {
    this.stopped = true;
  }

  private keep(node: NodeId, peer: Peer): void {
    if (this.stopped) return;
    const body = encodePulse(this.own());
    void peer
      .ask({ kind: 'ping', method: '', path: '', body }, PING_TIMEOUT)
      .then((told) => {
        const pulse = told && decodePulse(told.body);
        if (!pulse) return;
        this.words.set(node, { at: this.clock.steady(), pulse });
        if (pulse.leader === node) this.spread = pulse.spread;
        this.heard(pulse);
      })
      .finally(() => this.clock.after(PING_EVERY, () => this.keep(node, peer)));
  }

  /** The answer to another node's ping. */
  answer(body: Buffer): Buffer {
    const pulse = decodePulse(body);
    if (pulse) this.heard(pulse);
    return encodePulse(this.own());
  }

  alone(storeServed: SteadyMs): boolean {
    const words = [...this.peers.keys()].map((n) => this.words.get(n));
    return isAlone(this.clock.steady(), storeServed, words);
  }
}

export const recently = (at: SteadyMs, now: SteadyMs): boolean => since(at, now) < ALONE_AFTER;
