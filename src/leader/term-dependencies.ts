/** The dependencies of a term and its components on the rest of the controller. */
import type { Logger } from 'pino';
import type { OperatorSettings } from '../config/operator-settings.js';
import type { Settings } from '../config/settings.js';
import type { CloudClient } from '../cloud/client.js';
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { HttpClient } from '../net/http.js';
import type { StoreClient } from '../store/client.js';
import type { JobRecords } from '../ledger/job-records.js';
import type { RecordLimits } from '../ledger/record-limits.js';
import type { Peer } from '../peer/peer.js';
import type { MachineImages } from '../peer/messages.js';
import type { Clock, Epoch, ControllerId, Random } from '../units/index.js';
import type { ImageHintCache } from './image-hints.js';
import type { ReadLeases } from './read-leases.js';

/** Shared by the components of a term. All of these objects outlive the term. */
export interface TermDependencies {
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly store: StoreClient;
  readonly jobRecords: JobRecords;
  readonly recordLimits: RecordLimits;
  readonly cloud: CloudClient;
  readonly http: HttpClient;
  readonly catalog: MachineCatalog;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** The epoch under which this controller may act now; undefined if it has no authority. */
  readonly authority: () => Epoch | undefined;
  /** Called when a write shows that the leader key no longer belongs to that epoch. */
  readonly onDeposed: (epoch: Epoch) => void;
  /** Called when the machine types in the catalog have changed. */
  readonly onMachineTypesChanged: () => void;
  /** The images on machines, according to the hints of this leader and of earlier ones. */
  readonly imageHints: ImageHintCache;
  /** Sends hints to the other controllers about which images machines hold. */
  readonly broadcastImageHints: (machines: readonly MachineImages[]) => void;
  /** The read leases that this controller has granted, in this term and in earlier ones. */
  readonly readLeases: ReadLeases;
  /** The connections to the other controllers, which relay heartbeats of workers and commands to them. */
  readonly peers: ReadonlyMap<ControllerId, Peer>;
}
