/** Receives the heartbeats of workers and answers them with commands. */
import type { Machine } from '../fleet/machine.js';
import { workerLeaseEnd } from '../fleet/worker-lease.js';
import { toWorkerStatus, type WorkerStatus } from '../fleet/worker-status.js';
import type { UnchangedHeartbeat } from '../peer/messages.js';
import { MachineId, type Clock, type DurationMs, type Epoch, type NodeId } from '../units/index.js';
import type { Command, Heartbeat, HeartbeatReply } from '../wire/index.js';
import type { StatusObserver } from './direct-command-sender.js';
import type { PlacementIndex } from './placement-index.js';
import { ReceptionCheck } from './reception-check.js';

/** Decides the commands of a reply. */
export interface ReplyComposer {
  /** To be called when the status has been reconciled with the placements. */
  commandsForHeartbeat(machine: Machine, status: WorkerStatus): Command[];
}

/** What the handler uses. */
export interface HeartbeatHandlerOptions {
  readonly epoch: Epoch;
  readonly clock: Clock;
  /** The length of a worker's lease. */
  readonly lease: DurationMs;
  readonly placements: PlacementIndex;
  readonly observer: StatusObserver;
  readonly replies: ReplyComposer;
  /** A machine that was not up is up now, and may be given tasks. */
  readonly onMachineUp: () => void;
}

/** Processes heartbeats under one epoch. */
export class HeartbeatHandler {
  private nextBaseline = 1;
  private readonly emptyReply: HeartbeatReply;
  private readonly reception: ReceptionCheck;

  constructor(private readonly options: HeartbeatHandlerOptions) {
    const { epoch, placements, lease } = options;
    this.emptyReply = { fencingToken: epoch, commands: [] };
    this.reception = new ReceptionCheck(epoch, placements.ledger.jobs, lease);
  }

  /** A heartbeat that came directly from its worker. */
  handleDirect(heartbeat: Heartbeat): HeartbeatReply {
    return this.receive(heartbeat, toWorkerStatus(heartbeat), undefined);
  }

  /** A heartbeat that a follower relayed; and the baseline by which the follower may refer to it. */
  handleRelayed(
    heartbeat: Heartbeat,
    relayNode: NodeId,
  ): { reply: HeartbeatReply; baseline: number } {
    const baseline = this.nextBaseline++;
    const status = { ...toWorkerStatus(heartbeat), baseline };
    return { reply: this.receive(heartbeat, status, relayNode), baseline };
  }

  /**
   * A heartbeat that shows the same tasks as its baseline; undefined if the baseline is not the newest status
   * of the machine, so that the heartbeat is needed in full.
   */
  handleUnchanged(heartbeat: UnchangedHeartbeat, relayNode: NodeId): HeartbeatReply | undefined {
    const machine = this.options.placements.fleet.machines.get(MachineId(heartbeat.machine));
    const last = machine?.status;
    if (!machine || last?.baseline !== heartbeat.unchangedSince) return undefined;
    if (last.session !== heartbeat.session) return undefined;
    const { sequence, fencingToken } = heartbeat;
    return this.accept(machine, { ...last, sequence, fencingToken }, relayNode);
  }

  private receive(
    heartbeat: Heartbeat,
    status: WorkerStatus,
    relayNode: NodeId | undefined,
  ): HeartbeatReply {
    const id = MachineId(heartbeat.machine);
    const { fleet } = this.options.placements;
    if (fleet.isGone(id)) return this.emptyReply;
    const { machineType, zone, spot } = heartbeat;
    const machine = fleet.observe(id, { machineType, zone, spot }, heartbeat.address);
    return this.accept(machine, status, relayNode);
  }

  private accept(
    machine: Machine,
    status: WorkerStatus,
    relayNode: NodeId | undefined,
  ): HeartbeatReply {
    const { clock, epoch, lease, observer, onMachineUp, replies } = this.options;
    const now = clock.steady();
    const wasUp = machine.isUp;
    const last = machine.status;
    const isFresh = machine.recordStatus(status, now);
    if (isFresh && last) this.reception.check(machine, status, last, now);
    // A stale heartbeat is answered too, and its worker counts a new lease from when it was sent.
    machine.extendLease(workerLeaseEnd(now, lease));
    if (!isFresh) return this.emptyReply;
    machine.relayNode = relayNode;
    if (!wasUp) onMachineUp();
    observer.observe(machine, status, 'heartbeat');
    return { fencingToken: epoch, commands: replies.commandsForHeartbeat(machine, status) };
  }
}
