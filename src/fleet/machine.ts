/** One machine as the leader knows it. */
import {
  addDuration,
  type Endpoint,
  type Epoch,
  type MachineId,
  type ControllerId,
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
import { MachineFencing } from './machine-fencing.js';
import { DirectStarts } from './direct-starts.js';
import { isAfter, type WorkerStatus } from './worker-status.js';

/** After this many ignored responses in a row, the leader treats a machine as not receiving. */
const MAX_IGNORED_RESPONSES = 2;

/** The type, zone and price model of a machine. */
export interface MachineKind {
  /** Empty while unknown. */
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The tasks that records place on a machine, its newest status, and commands that may still be delivered to it. */
export class Machine {
  address: Endpoint | undefined;
  /** The controller that relays its heartbeats; undefined if the worker sends them to the leader itself. */
  relayControllerId: ControllerId | undefined;
  /** The newest status; undefined before the first one and after the worker lease has expired. */
  status: WorkerStatus | undefined;
  /** The lowest session that may be current. Earlier ones have certainly ended, so their messages are stale. */
  minSession = 0;
  /** Whether a status has arrived in this term and the worker lease has not expired since. */
  isUp = false;
  /** When the newest status arrived. */
  lastStatusAt: SteadyMs | undefined;
  /** When the worker lease has certainly expired unless the leader accepts another heartbeat. */
  leaseExpiresAt: SteadyMs;
  /** When the cloud will reclaim the machine, according to its newest status. */
  reclaimAt: SteadyMs | undefined;
  /** Whether the machine is to be deleted or given up as lost: it gets no new tasks. */
  isDecommissioning = false;
  /** Whether a delete request was sent, which the cloud may execute at any time. */
  isDeleteSent = false;
  rentedAt: SteadyMs | undefined;
  /** When the cloud's machine list first contained it. */
  listedAt: SteadyMs | undefined;
  /** How many machine lists in a row have not contained it. */
  missedListCount = 0;
  bootingSince: SteadyMs | undefined;
  /** When the cloud first listed it as running before any status of it had arrived. */
  listedRunningSince: SteadyMs | undefined;
  idleSince: SteadyMs | undefined;
  /** The machine gets no tasks until then, after a refused start or a failed task. */
  quarantinedUntil = 0 as SteadyMs;
  taskFailureCount = 0;
  /** After a direct command without a response, only heartbeat responses carry commands until then. */
  commandsPausedUntil = 0 as SteadyMs;
  hasCommandInFlight = false;
  /** Number of heartbeats in a row that show no effect of the responses to earlier ones. */
  private ignoredResponses = 0;
  /** Since when its heartbeats arrive but nothing sent to it does; undefined while it receives. */
  notReceivingSince: SteadyMs | undefined;
  /** When a status last arrived that was older than the newest one. */
  staleStatusAt: SteadyMs | undefined;
  /** When it was last probed. */
  probedAt: SteadyMs | undefined;
  private readonly assignedTasks = new Map<TaskKey, AssignedTask>();
  private cachedLoad: MachineLoad | undefined;
  readonly directStarts = new DirectStarts();
  readonly fencing = new MachineFencing();
  readonly images: ImageCache;
  /** Whether the images that an earlier leader expected in the cache have been added. */
  hasImageHints = false;

  constructor(
    readonly id: MachineId,
    /** Its `machineType` is empty while the machine is known only from a record. */
    public kind: MachineKind,
    cacheGb: number,
    leaseExpiresAt: SteadyMs,
  ) {
    this.leaseExpiresAt = leaseExpiresAt;
    this.images = new ImageCache(cacheGb);
  }

  /** The tasks that records place here. Each of them may run here until its absence is proven. */
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

  /** The load. It is cached until it changes, since it is read far more often than it changes. */
  load(resourcesOf: ResourcesOf): MachineLoad {
    this.cachedLoad ??= computeLoad(this, resourcesOf);
    return this.cachedLoad;
  }

  /**
   * A worker never reports a lower token than before, unless it has restarted and numbers its messages from the start.
   * So a status with a lower token is a late copy, or the first one after a restart, which a probe tells apart.
   */
  private isNewer(status: WorkerStatus): boolean {
    if (status.session < this.minSession) return false;
    if (!this.status) return true;
    return isAfter(status, this.status) && status.fencingToken >= this.status.fencingToken;
  }

  /** Stores a status as the newest one. Returns false if it is stale; then only `staleStatusAt` changes. */
  recordStatus(status: WorkerStatus, now: SteadyMs): boolean {
    if (!this.isNewer(status)) {
      this.staleStatusAt = now;
      return false;
    }
    if (this.status && status.session > this.status.session) this.endSession();
    if (status.fencingToken !== this.status?.fencingToken)
      this.directStarts.removeFenced(status.fencingToken);
    this.status = status;
    this.cachedLoad = undefined;
    this.isUp = true;
    this.lastStatusAt = now;
    this.bootingSince = undefined;
    this.recordReclaimNotice(status, now);
    return true;
  }

  /** Called only with the newest status, since a late copy may carry an outdated reclaim notice. */
  private recordReclaimNotice({ reclaimNotice }: WorkerStatus, now: SteadyMs): void {
    if (reclaimNotice === undefined) {
      this.reclaimAt = undefined;
      return;
    }
    const reclaimAt = addDuration(now, reclaimNotice);
    if (this.reclaimAt === undefined || reclaimAt < this.reclaimAt) this.reclaimAt = reclaimAt;
  }

  /**
   * Resets the session of a machine that restarted before the leader noticed its absence. Its session or message
   * numbers start again from the beginning, so all its messages would otherwise count as stale. Once its token has been
   * raised, late copies of messages from before the restart count as stale instead, although their numbers are higher.
   *
   * @param status from the response to a request of this leader, which proves that it is new
   */
  onRestart(status: WorkerStatus, now: SteadyMs): void {
    this.status = undefined;
    this.minSession = status.session;
    this.fencing.isRaiseDue = true;
    this.recordStatus(status, now);
  }

  /**
   * Counts a heartbeat that shows no effect of the response to an earlier one. A single response may get lost, but
   * not several in a row.
   */
  recordIgnoredResponse(now: SteadyMs): void {
    this.ignoredResponses++;
    if (this.ignoredResponses >= MAX_IGNORED_RESPONSES) this.notReceivingSince ??= now;
  }

  /** Records that something sent to the machine has arrived. */
  recordDelivery(): void {
    this.ignoredResponses = 0;
    this.notReceivingSince = undefined;
  }

  /** Extends the worker lease after an accepted heartbeat, which renews it until `expiresAt` at most. */
  extendLease(expiresAt: SteadyMs): void {
    if (expiresAt > this.leaseExpiresAt) this.leaseExpiresAt = expiresAt;
  }

  /** Ends the session, and with it all its tasks, once the worker lease has certainly expired. */
  expireLease(): void {
    if (this.status) this.minSession = this.status.session + 1;
    this.status = undefined;
    this.cachedLoad = undefined;
    this.isUp = false;
    this.endSession();
  }

  /**
   * The worker has dropped the tasks of the session and refuses commands addressed to it. After a restart it numbers its
   * sessions from the start and would accept them again, until it sees a higher token.
   */
  private endSession(): void {
    if (this.directStarts.size > 0) this.fencing.isRaiseDue = true;
    this.directStarts.clear();
  }

  /** Whether the newest status is from an earlier epoch. It may be a late copy from a machine that is long gone. */
  isUnconfirmed(epoch: Epoch): boolean {
    return this.status !== undefined && this.status.fencingToken < epoch;
  }

  /** Whether the machine is unconfirmed and its worker recently did not respond to a direct command. */
  isUnconfirmedWithFailedCommand(epoch: Epoch, now: SteadyMs): boolean {
    return this.commandsPausedUntil > now && this.isUnconfirmed(epoch);
  }

  /** Whether the machine gets no new tasks. Tasks that are proven not to be on it are placed elsewhere. */
  get isDraining(): boolean {
    return (
      this.isDecommissioning || this.reclaimAt !== undefined || this.notReceivingSince !== undefined
    );
  }
}
