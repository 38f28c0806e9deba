/** Backoff from offers that the cloud refused: others are tried in the meantime. */
import { addDuration, ms, seconds, type Random, type SteadyMs } from '../units/index.js';
import { offerKey, type Offer } from './types.js';

const MIN_OFFER_BACKOFF = seconds(8);
const MAX_OFFER_BACKOFF = seconds(60);
/** Each backoff is randomised by up to this share in both directions. */
const JITTER_SHARE = 0.2;

interface Refusal {
  readonly pausedUntil: SteadyMs;
  /** Number of refusals in a row. */
  readonly count: number;
}

/** The backoff of each refused offer, which doubles with each refusal in a row. */
export class OfferBackoff {
  private readonly refusals = new Map<string, Refusal>();

  constructor(private readonly random: Random) {}

  /** Records that an offer was refused, wholly or in part. */
  recordRefusal(offer: Offer, now: SteadyMs): void {
    const key = offerKey(offer);
    const count = (this.refusals.get(key)?.count ?? 0) + 1;
    const backoff = Math.min(MAX_OFFER_BACKOFF, MIN_OFFER_BACKOFF * 2 ** (count - 1));
    const jitter = 1 - JITTER_SHARE + 2 * JITTER_SHARE * this.random();
    this.refusals.set(key, { count, pausedUntil: addDuration(now, ms(backoff * jitter)) });
  }

  /** Records that an offer was granted in full: its next refusal counts as the first. */
  recordGrant(offer: Offer): void {
    this.refusals.delete(offerKey(offer));
  }

  /** The keys of the offers whose backoff has not ended. */
  offersInBackoff(now: SteadyMs): ReadonlySet<string> {
    const paused = new Set<string>();
    for (const [key, { pausedUntil }] of this.refusals) if (pausedUntil > now) paused.add(key);
    return paused;
  }
}
