/** A map whose entries are forgotten some time after they were last set. */
import { since, type DurationMs, type SteadyMs } from './index.js';

interface Kept<V> {
  readonly value: V;
  readonly at: SteadyMs;
}

/** However many entries there are, each is looked at once in the time that it is kept. */
export class ExpiringMap<K, V> {
  private readonly entries = new Map<K, Kept<V>>();
  private sweptAt: SteadyMs | undefined;

  constructor(private readonly keptFor: DurationMs) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: K): V | undefined {
    return this.entries.get(key)?.value;
  }

  set(key: K, value: V, now: SteadyMs): void {
    this.entries.set(key, { value, at: now });
    this.sweptAt ??= now;
    if (since(this.sweptAt, now) > this.keptFor) this.sweep(now);
  }

  delete(key: K): void {
    this.entries.delete(key);
  }

  private sweep(now: SteadyMs): void {
    this.sweptAt = now;
    for (const [key, { at }] of this.entries) {
      if (since(at, now) > this.keptFor) this.entries.delete(key);
    }
  }
}
