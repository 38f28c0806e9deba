/** One machine as the leader knows it. */
import {
  later,
  type Endpoint,
  type Epoch,
  type MachineId,
  type NodeId,
  type SteadyMs,
  type TaskKey,
} from '../units/index.js';
import { ImageCache } from './image-cache.js';
import {
  computeLoad,
  type AssignedTask,
  type MachineLoad,
  type ResourcesOf,
} from './machine-load.js';
import { DirectStarts } from './direct-starts.js';
import { isAfter, type WorkerStatus } from './worker-status.js';

/** After this many ignored replies in a row, a machine counts as not receiving. */
const MAX_IGNORED_RESPONSES = 2;

/** The type of a machine, and where and how it is rented. */
export interface MachineKind {
  /** Empty if not known yet. */
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** What records place on a machine, what its newest status shows, and what may still be delivered to it. */
export class Machine {
  address: Endpoint | undefined;
  /** The node that relays its heartbeats; undefined if they come directly to the leader. */
  relayControllerId: NodeId | undefined;
  /** The newest status; undefined before the first one and after the worker lease has expired. */
  status: WorkerStatus | undefined;
  /** Earlier sessions are certainly over, and their messages are stale. */
  minSession = 0;
  /** A status has arrived under this epoch, and the worker lease has not expired since. */
  isUp = false;
  /** When the newest status arrived. */
  lastStatusAt: SteadyMs | undefined;
  /** When the worker lease has certainly expired unless another heartbeat is answered. */
  leaseExpiresAt: SteadyMs;
  /** When the cloud is going to reclaim it, as announced by its newest status. */
  reclaimAt: SteadyMs | undefined;
  /** To be given back or given up: gets no new tasks. */
  isDecommissioning = false;
  /** A delete was sent and may be executed at any time. */
  isDeleteSent = false;
  rentedAt: SteadyMs | undefined;
  /** When the cloud's list first showed it. */
  listedAt: SteadyMs | undefined;
  /** How many lists in a row have lacked it. */
  missedListCount = 0;
  bootingSince: SteadyMs | undefined;
  /** When it was first listed as running, while no status of it had arrived. */
  listedRunningSince: SteadyMs | undefined;
  idleSince: SteadyMs | undefined;
  /** After a refused or failed start it gets no tasks until then. */
  quarantinedUntil = 0 as SteadyMs;
  taskFailureCount = 0;
  /** After an unanswered push, commands go only with replies to heartbeats until then. */
  commandsPausedUntil = 0 as SteadyMs;
  hasCommandInFlight = false;
  /** Heartbeats in a row that show no effect of the replies to earlier ones. */
  private ignoredResponses = 0;
  /** Since when its heartbeats arrive but nothing that is sent to it does; undefined if that is not so. */
  notReceivingSince: SteadyMs | undefined;
  /** When a status arrived that was older than the newest one. */
  staleStatusAt: SteadyMs | undefined;
  /** When it was last probed. */
  probedAt: SteadyMs | undefined;
  private readonly assignedTasks = new Map<TaskKey, AssignedTask>();
  private cachedLoad: MachineLoad | undefined;
  readonly directStarts = new DirectStarts();
  readonly images: ImageCache;
  /** The images that an earlier leader knew of have been added. */
  hasImageHints = false;

  constructor(
    readonly id: MachineId,
    /** Its `machineType` is empty while only a record names the machine. */
    public kind: MachineKind,
    cacheGb: number,
    leaseExpiresAt: SteadyMs,
  ) {
    this.leaseExpiresAt = leaseExpiresAt;
    this.images = new ImageCache(cacheGb);
  }

  /** What records place here. Each task may run here until its absence is proven. */
  get assignments(): ReadonlyMap<TaskKey, AssignedTask> {
    return this.assignedTasks;
  }

  assign(key: TaskKey, task: AssignedTask): void {
    this.assignedTasks.set(key, task);
    this.cachedLoad = undefined;
    this.idleSince = undefined;
  }

  unassign(key: TaskKey): void {
    if (this.assignedTasks.delete(key)) this.cachedLoad = undefined;
  }

  recordImageUse(image: string, sizeGb: number): void {
    if (!this.images.has(image)) this.cachedLoad = undefined;
    this.images.recordUse(image, sizeGb);
  }

  /** The load, computed again only after a change: it is read far more often than it changes. */
  load(resourcesOf: ResourcesOf): MachineLoad {
    this.cachedLoad ??= computeLoad(this, resourcesOf);
    return this.cachedLoad;
  }

  private isNewer(status: WorkerStatus): boolean {
    return status.session >= this.minSession && (!this.status || isAfter(status, this.status));
  }

  /** Takes a status as the newest one; false if it is stale, and nothing but `staleStatusAt` changes. */
  recordStatus(status: WorkerStatus, now: SteadyMs): boolean {
    if (!this.isNewer(status)) {
      this.staleStatusAt = now;
      return false;
    }
    // A new session has dropped the tasks of the old one and refuses commands that were sent to it.
    if (this.status && status.session > this.status.session) this.directStarts.clear();
    this.status = status;
    this.cachedLoad = undefined;
    this.isUp = true;
    this.lastStatusAt = now;
    this.bootingSince = undefined;
    this.recordReclaimNotice(status, now);
    return true;
  }

  /** Only the newest status counts: a late copy may carry a notice that does not apply any more. */
  private recordReclaimNotice({ reclaimNotice }: WorkerStatus, now: SteadyMs): void {
    if (reclaimNotice === undefined) {
      this.reclaimAt = undefined;
      return;
    }
    const reclaimAt = later(now, reclaimNotice);
    if (this.reclaimAt === undefined || reclaimAt < this.reclaimAt) this.reclaimAt = reclaimAt;
  }

  /**
   * The machine was restarted too quickly to be missed and numbers its sessions or messages from the start
   * again, so that all its messages would count as stale.
   *
   * @param status the reply to a request of this leader, which proves that it is new
   */
  onRestart(status: WorkerStatus, now: SteadyMs): void {
    this.status = undefined;
    this.minSession = status.session;
    this.recordStatus(status, now);
  }

  /** A heartbeat shows no effect of the reply to an earlier one. A single reply may be lost, not several in a row. */
  recordIgnoredResponse(now: SteadyMs): void {
    this.ignoredResponses++;
    if (this.ignoredResponses >= MAX_IGNORED_RESPONSES) this.notReceivingSince ??= now;
  }

  /** Something that was sent to the machine has arrived. */
  recordDelivery(): void {
    this.ignoredResponses = 0;
    this.notReceivingSince = undefined;
  }

  /** A heartbeat was accepted that renews the worker lease until then at most. */
  extendLease(expiresAt: SteadyMs): void {
    if (expiresAt > this.leaseExpiresAt) this.leaseExpiresAt = expiresAt;
  }

  /** The worker lease has certainly expired: the session is over, and so are all its tasks. */
  expireLease(): void {
    if (this.status) this.minSession = this.status.session + 1;
    this.status = undefined;
    this.cachedLoad = undefined;
    this.isUp = false;
    this.directStarts.clear();
  }

  /** Only statuses from before the epoch are known. They may be late copies from a machine that is long gone. */
  isUnconfirmed(epoch: Epoch): boolean {
    return this.status !== undefined && this.status.fencingToken < epoch;
  }

  /** Unconfirmed, and its worker did not answer a pushed command lately. */
  isUnconfirmedWithFailedCommand(epoch: Epoch, now: SteadyMs): boolean {
    return this.commandsPausedUntil > now && this.isUnconfirmed(epoch);
  }

  /** Gets no new tasks, and those that are proven not to be there are placed elsewhere. */
  get isDraining(): boolean {
    return (
      this.isDecommissioning || this.reclaimAt !== undefined || this.notReceivingSince !== undefined
    );
  }
}
