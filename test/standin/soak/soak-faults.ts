/** The faults that a soak run injects at random. Several can be active at a time. */
import { CONTROLLERS } from '../cluster-settings.js';
import { pickRandom } from '../random-faults.js';
import type { SoakCluster } from './soak-cluster.js';

const MIN_FAULT_MS = 1000;
const MAX_FAULT_MS = 12_000;
/** A killed controller is back within a fraction of a second, or after this time. */
const RESTART_DELAY_MS = 5000;

/** Begins a fault and returns how to end it. */
type Fault = (cluster: SoakCluster) => () => void;

const nothing = (): void => undefined;

const randomController = ({ random }: SoakCluster): number => pickRandom(random, CONTROLLERS);

function killController(cluster: SoakCluster, index: number): void {
  const process = cluster.controllers[index]?.process;
  process?.kill();
  cluster.time.after(cluster.random() < 0.4 ? 200 : RESTART_DELAY_MS, () => process?.start());
}

/** Applies a fault of machines to up to a third of them. */
const onMachines =
  (set: (cluster: SoakCluster, id: string, isActive: boolean) => void): Fault =>
  (cluster) => {
    const affected = [...cluster.fleet.workers.keys()].filter(() => cluster.random() < 0.3);
    for (const id of affected) set(cluster, id, true);
    return () => {
      for (const id of affected) set(cluster, id, false);
    };
  };

/** Applies a fault to the link of one controller, or of all, to the store. */
const onStoreLinks =
  (
    set: (link: SoakCluster['controllers'][number]['storeLink'], isActive: boolean) => void,
  ): Fault =>
  (cluster) => {
    const only = cluster.random() < 0.5 ? randomController(cluster) : undefined;
    const affected = cluster.controllers.filter((_, i) => only === undefined || i === only);
    for (const { storeLink } of affected) set(storeLink, true);
    return () => {
      for (const { storeLink } of affected) set(storeLink, false);
    };
  };

/** Cuts a controller off from its peers, and with a probability from the store too. */
const isolateController: Fault = (cluster) => {
  const index = randomController(cluster);
  const state = cluster.random() < 0.5 ? 'cut' : 'refuse';
  const losesStore = cluster.random() < 0.6;
  const setIsolated = (isIsolated: boolean): void => {
    for (const [from, { peerLinks, storeLink }] of cluster.controllers.entries()) {
      for (const [to, link] of peerLinks) {
        if (from === index || to === index) link.setState(isIsolated ? state : 'open');
      }
      if (from === index && losesStore) storeLink.isCut = isIsolated;
    }
  };
  setIsolated(true);
  return () => setIsolated(false);
};

const FAULTS: readonly Fault[] = [
  (cluster) => {
    killController(cluster, randomController(cluster));
    return nothing;
  },
  (cluster) => {
    for (const index of CONTROLLERS) killController(cluster, index);
    return nothing;
  },
  (cluster) => {
    const process = cluster.controllers[randomController(cluster)]?.process;
    process?.setPaused(true);
    return () => process?.setPaused(false);
  },
  (cluster) => {
    cluster.store.setOutage(true);
    return () => cluster.store.setOutage(false);
  },
  (cluster) => {
    const name = `node-${randomController(cluster)}`;
    cluster.store.setOutageFor(name, true);
    return () => cluster.store.setOutageFor(name, false);
  },
  (cluster) => {
    cluster.fleet.cloud.isUnavailable = true;
    return () => (cluster.fleet.cloud.isUnavailable = false);
  },
  isolateController,
  onStoreLinks((link, isActive) => (link.maxDelayMs = isActive ? 600 : 0)),
  onStoreLinks((link, isActive) => (link.lateWriteShare = isActive ? 0.2 : 0)),
  onStoreLinks((link, isActive) => (link.lostResponseShare = isActive ? 0.2 : 0)),
  onMachines((cluster, id, isActive) => cluster.fleet.setHung(id, isActive)),
  onMachines((cluster, id, isActive) => cluster.fleet.setDeaf(id, isActive)),
  onMachines((cluster, id, isActive) => cluster.fleet.setMute(id, isActive)),
  (cluster) => {
    for (const id of [...cluster.fleet.workers.keys()])
      if (cluster.random() < 0.15) cluster.fleet.cloud.end(id);
    return nothing;
  },
  (cluster) => {
    for (let i = 0; i < 4; i++) cluster.cancelRandomJob();
    return nothing;
  },
];

/** Begins a random fault, which ends by itself unless `heal` ends it earlier. */
export function injectRandomFault(cluster: SoakCluster): void {
  const end = pickRandom(cluster.random, FAULTS)(cluster);
  cluster.time.after(MIN_FAULT_MS + cluster.random() * (MAX_FAULT_MS - MIN_FAULT_MS), end);
}
