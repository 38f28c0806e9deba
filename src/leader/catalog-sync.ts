/**
 * The catalog of machine types in the store: the leader writes it when it changes, the other nodes read
 * it, so that they can judge submissions.
 */
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { StoreClient } from '../store/client.js';
import { ms, seconds, sleep, type Clock } from '../units/index.js';

const CATALOG_KEY = 'catalog';
const READ_INTERVAL = seconds(60);
/** As long as nothing is known at all. */
const INITIAL_READ_INTERVAL = seconds(1);
const STORE_TIMEOUT = ms(2000);

/** What the stored catalog needs of the rest of the node. */
export interface CatalogSyncDependencies {
  readonly store: Pick<StoreClient, 'get' | 'transact'>;
  readonly catalog: MachineCatalog;
  readonly clock: Clock;
  /** Whether this node leads: then it has the types from the cloud. */
  readonly isLeader: () => boolean;
}

/** Keeps this node's catalog and the stored one alike. */
export class CatalogSync {
  private isStopped = false;

  constructor(private readonly deps: CatalogSyncDependencies) {}

  /** Reads the catalog at intervals while another node leads, until `stop`. */
  async run(): Promise<void> {
    const { catalog, clock, isLeader, store } = this.deps;
    while (!this.isStopped) {
      const interval = catalog.isKnown ? READ_INTERVAL : INITIAL_READ_INTERVAL;
      if (!isLeader()) {
        const read = await store.get(CATALOG_KEY, STORE_TIMEOUT);
        // Asked again: this node may have come to lead meanwhile.
        if (read.kind === 'found' && !isLeader()) catalog.restore(read.data);
      }
      await sleep(clock, interval);
    }
  }

  /** Writes the catalog, as the leader. A failure is made good by the next change. */
  async save(): Promise<void> {
    const { catalog, store } = this.deps;
    await store.transact([], [{ put: CATALOG_KEY, data: catalog.encode() }], STORE_TIMEOUT);
  }

  /** Reads no more. */
  stop(): void {
    this.isStopped = true;
  }
}
