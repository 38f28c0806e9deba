/** The way of one controller's requests to the simulated store, and the faults on it. */
import type { Random } from '../../../src/units/index.js';
import type { TimeSource } from '../clock.js';
import type { HostResponse } from '../network.js';
import type { Store } from '../store.js';

const NEVER = new Promise<HostResponse>(() => undefined);

/** Passes requests to the store under the name of one controller. */
export class StoreLink {
  /** Whether no request arrives and none is answered. */
  isCut = false;
  /** Each request is delayed by up to this time. */
  maxDelayMs = 0;
  /** The share of transactions that get no response and are carried out late, after newer ones. */
  lateWriteShare = 0;
  /** The share of transactions that are carried out at once and get no response. */
  lostResponseShare = 0;

  constructor(
    private readonly store: Store,
    private readonly random: Random,
    private readonly time: TimeSource,
  ) {}

  /** Handles a request of the controller `from`. */
  async handle(method: string, path: string, body: unknown, from: string): Promise<HostResponse> {
    if (this.isCut) return NEVER;
    if (this.maxDelayMs > 0) await this.delay(this.random() * this.maxDelayMs);
    if (path !== '/multi') return this.respond(method, path, body, from);
    if (this.random() < this.lateWriteShare) {
      this.time.after(2000 + this.random() * 10_000, () => {
        void this.store.handle(method, path, body, from);
      });
      return NEVER;
    }
    const response = await this.respond(method, path, body, from);
    return this.random() < this.lostResponseShare ? NEVER : response;
  }

  private delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.time.after(delayMs, resolve);
    });
  }

  /** A response that is ready when the link is cut gets lost too. */
  private async respond(
    method: string,
    path: string,
    body: unknown,
    from: string,
  ): Promise<HostResponse> {
    const response = await this.store.handle(method, path, body, from);
    return this.isCut ? NEVER : response;
  }
}
