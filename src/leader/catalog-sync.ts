/**
 * Shares the catalog of machine types through the store. The leader writes it when it changes. The followers read
 * it, so that they can validate submissions.
 */
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { StoreClient } from '../store/client.js';
import { ms, seconds, sleep, type Clock } from '../units/index.js';

const CATALOG_KEY = 'catalog';
const READ_INTERVAL = seconds(60);
/** The read interval as long as no machine types are known. */
const INITIAL_READ_INTERVAL = seconds(1);
const STORE_TIMEOUT = ms(2000);

/** The dependencies of the catalog synchronization on the rest of the controller. */
export interface CatalogSyncDependencies {
  readonly store: Pick<StoreClient, 'get' | 'transact'>;
  readonly catalog: MachineCatalog;
  readonly clock: Clock;
  /** Whether this controller leads. The leader gets the machine types from the cloud. */
  readonly isLeader: () => boolean;
}

/** Synchronizes this controller's catalog with the stored one. */
export class CatalogSync {
  private isStopped = false;

  constructor(private readonly deps: CatalogSyncDependencies) {}

  /** Reads the catalog at intervals while this controller does not lead, until `stop`. */
  async run(): Promise<void> {
    const { catalog, clock, isLeader, store } = this.deps;
    while (!this.isStopped) {
      const interval = catalog.isLoaded ? READ_INTERVAL : INITIAL_READ_INTERVAL;
      if (!isLeader()) {
        const read = await store.get(CATALOG_KEY, STORE_TIMEOUT);
        // Checked again, because this controller may have become leader in the meantime.
        if (read.kind === 'found' && !isLeader()) catalog.restore(read.data);
      }
      await sleep(clock, interval);
    }
  }

  /** Writes the catalog, as the leader. After a failure, the next change writes it again. */
  async save(): Promise<void> {
    const { catalog, store } = this.deps;
    await store.transact([], [{ put: CATALOG_KEY, data: catalog.encode() }], STORE_TIMEOUT);
  }

  /** Stops reading. */
  stop(): void {
    this.isStopped = true;
  }
}
