/** A map whose entries expire. */
import { durationBetween, type DurationMs, type SteadyMs } from './index.js';

interface Entry<V> {
  readonly value: V;
  readonly setAt: SteadyMs;
}

/**
 * A map that keeps each entry for at least `ttl` after it was last set. `set` removes all expired entries, but at most
 * once per `ttl`, so that each entry is examined only once in that time. Until it is removed, `get` still returns an
 * expired entry.
 */
export class ExpiringMap<K, V> {
  private readonly entries = new Map<K, Entry<V>>();
  private lastRemovalAt: SteadyMs | undefined;

  constructor(private readonly ttl: DurationMs) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: K): V | undefined {
    return this.entries.get(key)?.value;
  }

  set(key: K, value: V, now: SteadyMs): void {
    this.entries.set(key, { value, setAt: now });
    this.lastRemovalAt ??= now;
    if (durationBetween(this.lastRemovalAt, now) > this.ttl) this.removeExpired(now);
  }

  /** The values that were set within the last `ttl`. */
  *current(now: SteadyMs): Iterable<V> {
    for (const { value, setAt } of this.entries.values()) {
      if (durationBetween(setAt, now) <= this.ttl) yield value;
    }
  }

  delete(key: K): void {
    this.entries.delete(key);
  }

  private removeExpired(now: SteadyMs): void {
    this.lastRemovalAt = now;
    for (const [key, { setAt }] of this.entries) {
      if (durationBetween(setAt, now) > this.ttl) this.entries.delete(key);
    }
  }
}
