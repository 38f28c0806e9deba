/** What a term, and each of its parts, needs of the rest of the node. */
import type { Logger } from 'pino';
import type { OperatorSettings } from '../config/operator.js';
import type { Settings } from '../config/settings.js';
import type { CloudClient } from '../cloud/client.js';
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { HttpClient } from '../net/http.js';
import type { StoreClient } from '../store/client.js';
import type { JobRecords } from '../ledger/job-records.js';
import type { RecordLimits } from '../ledger/record-limits.js';
import type { Peer } from '../peer/peer.js';
import type { MachineImages } from '../peer/messages.js';
import type { Clock, Epoch, NodeId, Random } from '../units/index.js';
import type { ImageHints } from './image-hints.js';

/** Shared by the parts of a term; all of it outlives the term. */
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
  /** The epoch if we may act under it at this moment. */
  readonly authority: () => Epoch | undefined;
  /** A write showed that the leader key is not that epoch's any more. */
  readonly onDeposed: (epoch: Epoch) => void;
  /** The catalog holds other machine types than before. */
  readonly onMachineTypesChanged: () => void;
  /** The images on machines by the hints of leaders, earlier ones and this one. */
  readonly imageHints: ImageHints;
  /** Sends the other nodes hints: which images machines hold. */
  readonly broadcastImageHints: (machines: readonly MachineImages[]) => void;
  /** The connections to the other nodes, through which workers report and get commands. */
  readonly peers: ReadonlyMap<NodeId, Peer>;
}
