/** Faults of a world's network that concern its controllers and the state service. */
import type { Random } from '../../src/units/index.js';
import type { Network } from './network.js';
import { CLOUD_ADDRESS, NODES, STATE_ADDRESS, type Platform } from './platform.js';

/** What faults need of the world around them. */
export interface FaultsWorld {
  readonly random: Random;
  readonly network: Network;
  readonly platform: Platform;
}

/** The faults. Each lasts until it is switched off. */
export class Faults {
  private readonly apiEndpoints: readonly string[];

  constructor(private readonly world: FaultsWorld) {
    this.apiEndpoints = world.platform.all.map(({ apiEndpoint }) => apiEndpoint);
  }

  /** A controller loses the state service and the other controllers, but not workers and users. */
  isolate(node: number, isRefused: boolean): void {
    const { network, platform } = this.world;
    const own = platform.settingsOf(node);
    const clusterEndpoints = new Set<string>(
      platform.all.map(({ clusterEndpoint }) => clusterEndpoint),
    );
    for (const settings of platform.all) {
      const isCutFrom =
        settings === own
          ? (address: string) => address === STATE_ADDRESS || clusterEndpoints.has(address)
          : (address: string) => address === own.clusterEndpoint;
      network.isolate(settings.controllerId, isCutFrom, isRefused);
    }
  }

  /** Ends the isolation of any controller. */
  reconnect(): void {
    for (const { controllerId } of this.world.platform.all)
      this.world.network.reconnect(controllerId);
  }

  /** Connections between controllers are refused. */
  refusePeers(isRefused: boolean): void {
    for (const node of NODES) {
      const { clusterEndpoint } = this.world.platform.settingsOf(node);
      this.world.network.refuseConnections(clusterEndpoint, isRefused);
    }
  }

  /** Requests to the state service, and their answers, take up to so many milliseconds longer. */
  slowStore(maxMs: number): void {
    const { network, random } = this.world;
    network.extraDelay =
      maxMs <= 0 ? undefined : (to) => (to === STATE_ADDRESS ? random() * maxMs : 0);
  }

  /** Such a share of the transactions gets no answer and is carried out after newer ones. */
  delayWrites(share: number): void {
    const { network, random } = this.world;
    network.lateDelivery =
      share <= 0
        ? undefined
        : (path) => (path === '/multi' && random() < share ? 2000 + random() * 10_000 : undefined);
  }

  /** Of such a share of the messages to controllers and workers a copy arrives late, at any controller. */
  duplicateMessages(share: number): void {
    const { network, random, platform } = this.world;
    const { apiEndpoints } = this;
    const { lease } = platform.settingsOf(0).workers;
    const isExempt = (path: string, to: string): boolean =>
      to === STATE_ADDRESS || to === CLOUD_ADDRESS || path === '/up';
    network.duplicate =
      share <= 0
        ? undefined
        : (path, to) => {
            if (isExempt(path, to) || random() >= share) return undefined;
            const anyController = apiEndpoints[Math.floor(random() * apiEndpoints.length)] ?? to;
            return {
              to: apiEndpoints.includes(to) ? anyController : to,
              after: 1000 + random() * 2 * lease,
            };
          };
  }
}
