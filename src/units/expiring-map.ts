/** A map whose entries expire. */
import { durationBetween, type DurationMs, type SteadyMs } from './index.js';

interface Entry<V> {
  readonly value: V;
  readonly setAt: SteadyMs;
}

/**
 * A map whose entries are kept for at least `ttl` after they were last set. `set` removes the expired ones, at most
 * once in `ttl`, so that each entry is examined once in that time whatever their number. Until then `get` finds them.
 */
export class ExpiringMap<K, V> {
  private readonly entries = new Map<K, Entry<V>>();
  private sweptAt: SteadyMs | undefined;

  constructor(private readonly ttl: DurationMs) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: K): V | undefined {
    return this.entries.get(key)?.value;
  }

  set(key: K, value: V, now: SteadyMs): void {
    this.entries.set(key, { value, setAt: now });
    this.sweptAt ??= now;
    if (durationBetween(this.sweptAt, now) > this.ttl) this.sweep(now);
  }

  delete(key: K): void {
    this.entries.delete(key);
  }

  private sweep(now: SteadyMs): void {
    this.sweptAt = now;
    for (const [key, { setAt }] of this.entries) {
      if (durationBetween(setAt, now) > this.ttl) this.entries.delete(key);
    }
  }
}
