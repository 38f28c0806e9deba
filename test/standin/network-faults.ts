/** Network faults that affect the controllers and the store. */
import type { Random } from '../../src/units/index.js';
import type { Network } from './network.js';
import { CLOUD_ADDRESS, STORE_ADDRESS, type ClusterSettings } from './cluster-settings.js';

/** The parts of the simulated cluster that network faults use. */
export interface NetworkFaultsDependencies {
  readonly random: Random;
  readonly network: Network;
  readonly settings: ClusterSettings;
}

/** Injects network faults. Each lasts until it is switched off. */
export class NetworkFaults {
  private readonly apiEndpoints: readonly string[];

  constructor(private readonly dependencies: NetworkFaultsDependencies) {
    this.apiEndpoints = dependencies.settings.all.map(({ apiEndpoint }) => apiEndpoint);
  }

  /** Cuts controllers off from the store and all others, but not from each other, workers and users. */
  isolate(controllers: readonly number[], refusesConnections: boolean): void {
    const { network, settings } = this.dependencies;
    const endpointsOf = (isCutOff: boolean): ReadonlySet<string> =>
      new Set(
        settings.all
          .filter((_, index) => controllers.includes(index) === isCutOff)
          .map(({ peerEndpoint }) => peerEndpoint),
      );
    const isolated = endpointsOf(true);
    const others = endpointsOf(false);
    for (const { controllerId, peerEndpoint } of settings.all) {
      const isUnreachable = isolated.has(peerEndpoint)
        ? (address: string) => address === STORE_ADDRESS || others.has(address)
        : (address: string) => isolated.has(address);
      network.isolate(controllerId, isUnreachable, refusesConnections);
    }
  }

  /** Ends the isolation of all controllers. */
  reconnect(): void {
    for (const { controllerId } of this.dependencies.settings.all)
      this.dependencies.network.reconnect(controllerId);
  }

  /** Sets whether connections between controllers are refused. */
  setPeerConnectionsRefused(isRefused: boolean): void {
    for (const { peerEndpoint } of this.dependencies.settings.all) {
      this.dependencies.network.setConnectionsRefused(peerEndpoint, isRefused);
    }
  }

  /** Delays each request to the store, and each response, by up to `maxDelayMs`. */
  setStoreDelay(maxDelayMs: number): void {
    const { network, random } = this.dependencies;
    network.extraDelayMs =
      maxDelayMs <= 0 ? undefined : (to) => (to === STORE_ADDRESS ? random() * maxDelayMs : 0);
  }

  /** Sets the share of transactions that get no response and are carried out late, after newer ones. */
  setDelayedWriteShare(share: number): void {
    const { network, random } = this.dependencies;
    network.lateDeliveryMs =
      share <= 0
        ? undefined
        : (path) => (path === '/multi' && random() < share ? 2000 + random() * 10_000 : undefined);
  }

  /**
   * Sets the share of the requests to controllers and workers that arrive a second time, late. The copy of a
   * request to a controller arrives at a random controller.
   */
  setDuplicateShare(share: number): void {
    const { network, random, settings } = this.dependencies;
    const { apiEndpoints } = this;
    const { lease } = settings.of(0).workers;
    const isExempt = (path: string, to: string): boolean =>
      to === STORE_ADDRESS || to === CLOUD_ADDRESS || path === '/up';
    network.duplicateDelivery =
      share <= 0
        ? undefined
        : (path, to) => {
            if (isExempt(path, to) || random() >= share) return undefined;
            const randomController = apiEndpoints[Math.floor(random() * apiEndpoints.length)] ?? to;
            return {
              to: apiEndpoints.includes(to) ? randomController : to,
              afterMs: 1000 + random() * 2 * lease,
            };
          };
  }
}
