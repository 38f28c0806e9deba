/**
 * Finds machines to delete because they are gone or no longer usable: machines that did not boot, that the cloud
 * no longer lists, that send no heartbeats, or that have received nothing for too long.
 */
import type { Machine } from '../fleet/machine.js';
import {
  SteadyMs,
  ms,
  durationBetween,
  type DurationMs,
  type ControllerId,
} from '../units/index.js';

/** A boot counts as failed after this many times its usual duration. */
const FAILED_BOOT_FACTOR = 4;
/** Heartbeat intervals of silence after which a machine that the cloud no longer lists counts as gone. */
const UNLISTED_SILENCE_INTERVALS = 1.5;
/** Heartbeat intervals of silence after which any other machine counts as silent. */
const MAX_SILENCE_INTERVALS = 2.75;
/** The same for a machine whose silence may have a cause other than the loss of the machine. */
const EXPLAINED_SILENCE_INTERVALS = 7;
/**
 * While most machines of a zone have not reconnected, none of them is given up for this many worker leases.
 * Their tasks end after one lease, but a working machine is worth more than a new one.
 */
const ZONE_RECONNECT_LEASES = 2;
/** A machine that receives nothing is deleted after this many worker leases. */
const NOT_RECEIVING_LEASES = 1.2;

/** What the liveness of machines is determined from. */
export interface LivenessView {
  readonly now: SteadyMs;
  /** Since when this controller has responded to heartbeats without interruption. */
  readonly respondingSince: SteadyMs;
  readonly heartbeatInterval: DurationMs;
  /** The length of a worker's lease. */
  readonly lease: DurationMs;
  /** How long a machine of a type usually takes to boot. */
  readonly bootTimeOf: (machineType: string) => DurationMs;
  /** When each peer was last known not to respond to this controller. */
  readonly unreachableAt: ReadonlyMap<ControllerId, SteadyMs>;
}

type Liveness =
  /** A delete request was already sent for it, or its boot has failed. */
  | 'abandoned'
  /** It has sent no heartbeat and is not listed as running, so its silence means nothing yet. */
  | 'notStarted'
  /** Silent and no longer listed. */
  | 'vanished'
  /** Silent, possibly only until it has found another route to the leader. */
  | 'reconnecting'
  | 'silent'
  | 'alive';

/** Machines grouped by their liveness. */
interface LivenessSummary {
  readonly machineCount: number;
  /** Abandoned or vanished. */
  readonly gone: readonly Machine[];
  readonly silent: readonly Machine[];
  readonly notReceiving: readonly Machine[];
  readonly zones: ZoneLiveness;
}

/** Returns the machines to delete. Those that are certainly gone come first. */
export function findLostMachines(machines: Iterable<Machine>, view: LivenessView): Machine[] {
  const { machineCount, gone, silent, notReceiving, zones } = summarizeLiveness(machines, view);
  const lost = [...gone];
  // If most machines of a zone are alive, a silent one is lost. Otherwise this controller may be partitioned from
  // the zone: the zone's tasks keep running, and its workers may still reach the leader through another controller.
  for (const machine of silent) {
    if (zones.isMostlyAlive(machine) || isSilentTooLong(machine, view)) lost.push(machine);
  }
  // The tasks of a machine that receives nothing end with its lease. If most machines receive nothing, the fault
  // may be in this controller, so none of them is deleted.
  if (2 * notReceiving.length < machineCount) {
    for (const machine of notReceiving) if (!lost.includes(machine)) lost.push(machine);
  }
  return lost;
}

function summarizeLiveness(machines: Iterable<Machine>, view: LivenessView): LivenessSummary {
  const gone: Machine[] = [];
  const silent: Machine[] = [];
  const notReceiving: Machine[] = [];
  const zones = new ZoneLiveness();
  let machineCount = 0;
  for (const machine of machines) {
    machineCount++;
    const liveness = livenessOf(machine, view);
    if (liveness === 'abandoned' || liveness === 'vanished') gone.push(machine);
    else if (liveness === 'silent') silent.push(machine);
    if (liveness === 'abandoned' || liveness === 'notStarted') continue;
    zones.add(machine, liveness === 'alive');
    if (isNotReceiving(machine, view)) notReceiving.push(machine);
  }
  return { machineCount, gone, silent, notReceiving, zones };
}

function livenessOf(machine: Machine, view: LivenessView): Liveness {
  if (machine.isDeleteSent || isBootOverdue(machine, view)) return 'abandoned';
  const silence = silenceOf(machine, view);
  if (silence === undefined) return 'notStarted';
  const { heartbeatInterval } = view;
  if (machine.missedListCount >= 1 && silence > heartbeatInterval * UNLISTED_SILENCE_INTERVALS) {
    return 'vanished';
  }
  if (isReconnecting(machine, view) && silence <= heartbeatInterval * EXPLAINED_SILENCE_INTERVALS) {
    return 'reconnecting';
  }
  return silence > heartbeatInterval * MAX_SILENCE_INTERVALS ? 'silent' : 'alive';
}

function isBootOverdue(machine: Machine, { now, bootTimeOf }: LivenessView): boolean {
  if (machine.bootingSince === undefined) return false;
  const maxBootTime = bootTimeOf(machine.kind.machineType) * FAILED_BOOT_FACTOR;
  return durationBetween(machine.bootingSince, now) > maxBootTime;
}

/** How long a machine has been silent; undefined if no heartbeat of it was expected yet. */
function silenceOf(
  machine: Machine,
  { now, respondingSince }: LivenessView,
): DurationMs | undefined {
  const last = machine.lastStatusAt ?? machine.listedRunningSince;
  if (last === undefined) return undefined;
  // Silence counts only while heartbeats got responses: neither before this term nor while they got status 503.
  return durationBetween(SteadyMs(Math.max(last, respondingSince)), now);
}

/** Whether a machine sends heartbeats but has received nothing for too long. */
function isNotReceiving(machine: Machine, { now, lease }: LivenessView): boolean {
  if (machine.notReceivingSince === undefined) return false;
  return durationBetween(machine.notReceivingSince, now) > lease * NOT_RECEIVING_LEASES;
}

/**
 * Whether the worker may be looking for another route to the leader. Hundreds of workers may do so at once after
 * a failover or after the controller that relayed their heartbeats has stopped, and that some have succeeded says
 * nothing about the others. The worker's lease limits how long this lasts.
 */
function isReconnecting(machine: Machine, { unreachableAt }: LivenessView): boolean {
  if (machine.lastStatusAt === undefined) return true;
  if (machine.relayControllerId === undefined) return false;
  const relayLostAt = unreachableAt.get(machine.relayControllerId);
  return relayLostAt !== undefined && relayLostAt >= machine.lastStatusAt;
}

/** Whether a machine has been silent for too long even if its whole zone is silent. */
function isSilentTooLong(machine: Machine, view: LivenessView): boolean {
  const silence = silenceOf(machine, view) ?? 0;
  if (isReconnecting(machine, view)) return silence > view.lease * ZONE_RECONNECT_LEASES;
  return !machine.isUp || silence > view.heartbeatInterval * EXPLAINED_SILENCE_INTERVALS;
}

/** Counts how many machines of each zone are alive. */
class ZoneLiveness {
  private readonly total = new Map<string, number>();
  private readonly alive = new Map<string, number>();

  add({ kind: { zone } }: Machine, isAlive: boolean): void {
    this.total.set(zone, (this.total.get(zone) ?? 0) + 1);
    if (isAlive) this.alive.set(zone, (this.alive.get(zone) ?? 0) + 1);
  }

  isMostlyAlive({ kind: { zone } }: Machine): boolean {
    return 2 * (this.alive.get(zone) ?? 0) > (this.total.get(zone) ?? 0);
  }
}

/** How long a machine may be silent before it counts as silent rather than alive. */
export const silenceThreshold = (heartbeatInterval: DurationMs): DurationMs =>
  ms(heartbeatInterval * MAX_SILENCE_INTERVALS);
