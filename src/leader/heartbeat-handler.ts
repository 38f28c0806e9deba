/** Handles heartbeats of workers and responds with commands. */
import type { Logger } from 'pino';
import type { Machine } from '../fleet/machine.js';
import { workerLeaseEnd } from '../fleet/worker-lease.js';
import { toWorkerStatus, type WorkerStatus } from '../fleet/worker-status.js';
import type { UnchangedHeartbeat } from '../peer/messages.js';
import {
  MachineId,
  type Clock,
  type DurationMs,
  type Epoch,
  type ControllerId,
} from '../units/index.js';
import type { Command, Heartbeat, WorkerHeartbeatResponse } from '../wire/index.js';
import type { StatusObserver } from './direct-command-sender.js';
import type { FencingTokens } from './fencing-tokens.js';
import type { PlacementIndex } from './placement-index.js';
import { ResponseDeliveryCheck } from './response-delivery-check.js';
import type { StartFencing } from './start-fencing.js';

/** Decides the response commands for a heartbeat. */
export interface ResponseCommandSource {
  /** Must be called after the status has been reconciled with the placements. */
  commandsForHeartbeat(machine: Machine, status: WorkerStatus): Command[];
}

/** The dependencies of the heartbeat handler. */
export interface HeartbeatHandlerDependencies {
  readonly epoch: Epoch;
  readonly clock: Clock;
  readonly log: Logger;
  /** The duration of a worker's lease. */
  readonly lease: DurationMs;
  readonly placements: PlacementIndex;
  readonly tokens: Pick<FencingTokens, 'tokenFor' | 'recordSent'>;
  readonly fencing: Pick<StartFencing, 'tokenForStaleStatus'>;
  readonly observer: StatusObserver;
  readonly responseCommands: ResponseCommandSource;
  /** Called when a machine comes up, so that tasks can be placed on it. */
  readonly onMachineUp: () => void;
}

/** Handles heartbeats under one epoch. */
export class HeartbeatHandler {
  private nextBaseline = 1;
  private readonly deliveryCheck: ResponseDeliveryCheck;

  constructor(private readonly deps: HeartbeatHandlerDependencies) {
    const { epoch, placements, lease } = deps;
    this.deliveryCheck = new ResponseDeliveryCheck(epoch, placements.ledger.jobs, lease);
  }

  /** Handles a heartbeat that came directly from its worker. */
  handleDirect(heartbeat: Heartbeat): WorkerHeartbeatResponse {
    return this.acceptFull(heartbeat, toWorkerStatus(heartbeat), undefined);
  }

  /**
   * Handles a heartbeat that a follower relayed. Later unchanged heartbeats of the worker refer to this one by the
   * returned baseline.
   */
  handleRelayed(
    heartbeat: Heartbeat,
    relayId: ControllerId,
  ): { response: WorkerHeartbeatResponse; baseline: number } {
    const baseline = this.nextBaseline++;
    const status = { ...toWorkerStatus(heartbeat), baseline };
    return { response: this.acceptFull(heartbeat, status, relayId), baseline };
  }

  /**
   * Handles a heartbeat that shows the same tasks as its baseline. Returns undefined if the baseline is not the
   * newest status of the machine; the heartbeat must then be sent in full.
   */
  handleUnchanged(
    heartbeat: UnchangedHeartbeat,
    relayId: ControllerId,
  ): WorkerHeartbeatResponse | undefined {
    const machine = this.deps.placements.fleet.machines.get(MachineId(heartbeat.machine));
    const last = machine?.status;
    if (!machine || last?.baseline !== heartbeat.unchangedSince) return undefined;
    if (last.session !== heartbeat.session) return undefined;
    const { sequence, fencingToken } = heartbeat;
    return this.accept(machine, { ...last, sequence, fencingToken }, relayId);
  }

  /** Records that the response to a machine's heartbeat was sent with a higher fencing token than decided here. */
  recordFencingTokenSent(id: MachineId, fencingToken: number): void {
    const { placements, tokens } = this.deps;
    const machine = placements.fleet.machines.get(id);
    if (machine) tokens.recordSent(machine, fencingToken);
  }

  private acceptFull(
    heartbeat: Heartbeat,
    status: WorkerStatus,
    relayId: ControllerId | undefined,
  ): WorkerHeartbeatResponse {
    const id = MachineId(heartbeat.machine);
    const { fleet } = this.deps.placements;
    if (fleet.isGone(id)) return { fencingToken: this.deps.epoch, commands: [] };
    const { machineType, zone, spot } = heartbeat;
    const machine = fleet.upsertMachine(id, { machineType, zone, spot }, heartbeat.address);
    return this.accept(machine, status, relayId);
  }

  private accept(
    machine: Machine,
    status: WorkerStatus,
    relayId: ControllerId | undefined,
  ): WorkerHeartbeatResponse {
    const { clock, lease, observer, onMachineUp, responseCommands, tokens } = this.deps;
    const now = clock.steady();
    const wasUp = machine.isUp;
    const last = machine.status;
    const isFresh = machine.recordStatus(status, now);
    if (isFresh && last) this.deliveryCheck.check(machine, status, last, now);
    // A stale heartbeat also gets a response, with which the worker renews its lease from when it sent the heartbeat.
    machine.extendLease(workerLeaseEnd(now, lease));
    if (!isFresh) return this.respondToStale(machine, status);
    machine.relayControllerId = relayId;
    if (!wasUp) onMachineUp();
    observer.observe(machine, status, 'heartbeat');
    const commands = responseCommands.commandsForHeartbeat(machine, status);
    return { fencingToken: tokens.tokenFor(machine), commands };
  }
  /** The worker may have restarted, or the heartbeat is a late copy, whose response no worker receives. */
  private respondToStale(machine: Machine, status: WorkerStatus): WorkerHeartbeatResponse {
    const { fencing, log } = this.deps;
    const fencingToken = fencing.tokenForStaleStatus(machine, status);
    if (log.isLevelEnabled('debug'))
      log.debug(
        {
          machine: machine.id,
          fencingToken,
          heartbeat: orderOf(status),
          newest: machine.status && orderOf(machine.status),
          executableStarts: machine.directStarts.countExecutableUnder(fencingToken),
        },
        'heartbeat is older than the newest status of its machine',
      );
    return { fencingToken, commands: [] };
  }
}

const orderOf = ({ session, sequence, fencingToken }: WorkerStatus): object => ({
  session,
  sequence,
  fencingToken,
});
