/** Faults of a world's network that concern its controllers and the state service. */
import type { Random } from '../../src/units/index.js';
import type { Network } from './network.js';
import {
  CLOUD_ADDRESS,
  CONTROLLERS,
  STORE_ADDRESS,
  type ClusterSettings,
} from './cluster-settings.js';

/** What faults need of the world around them. */
export interface NetworkFaultsDependencies {
  readonly random: Random;
  readonly network: Network;
  readonly settings: ClusterSettings;
}

/** The faults. Each lasts until it is switched off. */
export class NetworkFaults {
  private readonly apiEndpoints: readonly string[];

  constructor(private readonly dependencies: NetworkFaultsDependencies) {
    this.apiEndpoints = dependencies.settings.all.map(({ apiEndpoint }) => apiEndpoint);
  }

  /** A controller loses the state service and the other controllers, but not workers and users. */
  isolate(controller: number, isRefused: boolean): void {
    const { network, settings: platform } = this.dependencies;
    const isolated = platform.of(controller);
    const clusterEndpoints = new Set<string>(
      platform.all.map(({ clusterEndpoint }) => clusterEndpoint),
    );
    for (const other of platform.all) {
      const isCutFrom =
        other === isolated
          ? (address: string) => address === STORE_ADDRESS || clusterEndpoints.has(address)
          : (address: string) => address === isolated.clusterEndpoint;
      network.isolate(other.node, isCutFrom, isRefused);
    }
  }

  /** Ends the isolation of any controller. */
  reconnect(): void {
    for (const { node } of this.dependencies.settings.all)
      this.dependencies.network.reconnect(node);
  }

  /** Connections between controllers are refused. */
  setPeerConnectionsRefused(isRefused: boolean): void {
    for (const node of CONTROLLERS) {
      const { clusterEndpoint } = this.dependencies.settings.of(node);
      this.dependencies.network.setConnectionsRefused(clusterEndpoint, isRefused);
    }
  }

  /** Requests to the state service, and their answers, take up to so many milliseconds longer. */
  setStoreDelay(maxDelayMs: number): void {
    const { network, random } = this.dependencies;
    network.extraDelayMs =
      maxDelayMs <= 0 ? undefined : (to) => (to === STORE_ADDRESS ? random() * maxDelayMs : 0);
  }

  /** Such a share of the transactions gets no answer and is carried out after newer ones. */
  setDelayedWriteShare(share: number): void {
    const { network, random } = this.dependencies;
    network.lateDeliveryMs =
      share <= 0
        ? undefined
        : (path) => (path === '/multi' && random() < share ? 2000 + random() * 10_000 : undefined);
  }

  /** Of such a share of the messages to controllers and workers a copy arrives late, at any controller. */
  setDuplicateShare(share: number): void {
    const { network, random, settings: platform } = this.dependencies;
    const { apiEndpoints } = this;
    const { lease } = platform.of(0).workers;
    const isExempt = (path: string, to: string): boolean =>
      to === STORE_ADDRESS || to === CLOUD_ADDRESS || path === '/up';
    network.duplicateDelivery =
      share <= 0
        ? undefined
        : (path, to) => {
            if (isExempt(path, to) || random() >= share) return undefined;
            const anyController = apiEndpoints[Math.floor(random() * apiEndpoints.length)] ?? to;
            return {
              to: apiEndpoints.includes(to) ? anyController : to,
              afterMs: 1000 + random() * 2 * lease,
            };
          };
  }
}
