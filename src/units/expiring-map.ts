/** A map whose entries expire. */
import { durationBetween, type DurationMs, type SteadyMs } from './index.js';

interface Entry<V> {
  readonly value: V;
  readonly setAt: SteadyMs;
}

/**
 * A map that keeps each entry for at least `ttl` after it was last set. `set` removes expired entries, at most once
 * per `ttl`: each entry is examined once in that time, however many there are. Until then `get` still returns them.
 */
export class ExpiringMap<K, V> {
  private readonly entries = new Map<K, Entry<V>>();
  private lastSweepAt: SteadyMs | undefined;

  constructor(private readonly ttl: DurationMs) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: K): V | undefined {
    return this.entries.get(key)?.value;
  }

  set(key: K, value: V, now: SteadyMs): void {
    this.entries.set(key, { value, setAt: now });
    this.lastSweepAt ??= now;
    if (durationBetween(this.lastSweepAt, now) > this.ttl) this.removeExpired(now);
  }

  delete(key: K): void {
    this.entries.delete(key);
  }

  private removeExpired(now: SteadyMs): void {
    this.lastSweepAt = now;
    for (const [key, { setAt }] of this.entries) {
      if (durationBetween(setAt, now) > this.ttl) this.entries.delete(key);
    }
  }
}
