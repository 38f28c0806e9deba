import type { Logger } from 'pino';
import type { OperatorSettings } from '../config/operator.js';
import type { Settings } from '../config/settings.js';
import type { CloudClient } from '../cloud/client.js';
import type { Catalog } from '../cloud/catalog.js';
import type { HttpClient } from '../net/http.js';
import type { StoreClient } from '../store/client.js';
import type { StoreFront } from '../ledger/front.js';
import type { HintBook, Hints } from './hints.js';
import type { Clock, Epoch, Random } from '../units/index.js';

export interface TermDeps {
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly store: StoreClient;
  readonly front: StoreFront;
  readonly cloud: CloudClient;
  readonly http: HttpClient;
  readonly catalog: Catalog;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** The epoch if we may act under it at this moment. */
  readonly authority: () => Epoch | undefined;
  readonly deposed: (epoch: Epoch) => void;
  /** The images on machines as the leader before told them; and how to tell the other nodes. */
  readonly hints: HintBook;
  readonly tellHints: (hints: Hints) => void;
  /** Whether workers reported through the other nodes before this term. */
  readonly spread: () => boolean;
}
