/**
 * Which machines are to be deleted because they are gone, or of no use any more: those that never booted,
 * that the cloud no longer lists, that are silent, or that receive nothing for too long.
 */
import type { Machine } from '../fleet/machine.js';
import { SteadyMs, ms, durationBetween, type DurationMs, type NodeId } from '../units/index.js';

/** A boot has failed after this many times its usual duration. */
const FAILED_BOOT_FACTOR = 4;
/** Silence, in heartbeat intervals, that shows a machine to be gone: if the cloud no longer lists it. */
const UNLISTED_SILENCE_INTERVALS = 1.5;
/** Of any other machine. */
const MAX_SILENCE_INTERVALS = 2.75;
/** Where something else than the end of the machine may explain its silence. */
const EXPLAINED_SILENCE_INTERVALS = 7;
/**
 * While most machines of a zone have not reconnected, none of them is given up for this many worker leases:
 * their tasks are over after one, and a machine that works is worth more than a new one.
 */
const ZONE_RECONNECT_LEASES = 2;
/** A machine that receives nothing is deleted after this many worker leases. */
const NOT_RECEIVING_LEASES = 1.2;

/** What the silence of machines is judged by. */
export interface LivenessView {
  readonly now: SteadyMs;
  /** Since when this process has answered heartbeats without a break. */
  readonly respondingSince: SteadyMs;
  readonly heartbeatInterval: DurationMs;
  /** The lease of a worker. */
  readonly lease: DurationMs;
  /** How long a machine of that type usually takes to boot. */
  readonly bootTime: (machineType: string) => DurationMs;
  /** When another node was last known not to answer this one. */
  readonly unreachableAt: ReadonlyMap<NodeId, SteadyMs>;
}

type Liveness =
  /** Its delete was sent before, or its boot has failed. */
  | 'abandoned'
  /** It has sent no heartbeat and is not listed as running: its silence means nothing yet. */
  | 'notStarted'
  /** Silent, and not listed any more. */
  | 'vanished'
  /** Silent, but perhaps only until it has found another way to the leader. */
  | 'reconnecting'
  | 'silent'
  | 'alive';

/** Machines by what is known of them. */
interface LivenessSummary {
  readonly machineCount: number;
  /** Gone for certain, or abandoned. */
  readonly gone: readonly Machine[];
  readonly silent: readonly Machine[];
  readonly notReceiving: readonly Machine[];
  readonly zones: ZoneLiveness;
}

/** The machines to delete: those that are certainly gone come first. */
export function findLostMachines(machines: Iterable<Machine>, view: LivenessView): Machine[] {
  const { machineCount, gone, silent, notReceiving, zones } = summarizeLiveness(machines, view);
  const lost = [...gone];
  // Where most machines of a zone are alive, a silent one is dead. Otherwise this node may be cut off from
  // the zone: its tasks run on, and its workers may yet reach the leader through another node.
  for (const machine of silent) {
    if (zones.isMostlyAlive(machine) || isGivenUp(machine, view)) lost.push(machine);
  }
  // The tasks of a machine that receives nothing end with its lease. If most receive nothing, the fault
  // may be on this side, and none is deleted for it.
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

function isBootOverdue(machine: Machine, { now, bootTime }: LivenessView): boolean {
  if (machine.bootingSince === undefined) return false;
  const maxBootTime = bootTime(machine.kind.machineType) * FAILED_BOOT_FACTOR;
  return durationBetween(machine.bootingSince, now) > maxBootTime;
}

/** How long a machine has been silent; undefined if no heartbeat of it was to be expected yet. */
function silenceOf(
  machine: Machine,
  { now, respondingSince: listeningSince }: LivenessView,
): DurationMs | undefined {
  const last = machine.lastStatusAt ?? machine.listedRunningSince;
  if (last === undefined) return undefined;
  // Silence counts only while heartbeats were answered: not before this term, nor while they got a 503.
  return durationBetween(SteadyMs(Math.max(last, listeningSince)), now);
}

/** Whether a machine sends heartbeats but has received nothing for too long. */
function isNotReceiving(machine: Machine, { now, lease }: LivenessView): boolean {
  if (machine.notReceivingSince === undefined) return false;
  return durationBetween(machine.notReceivingSince, now) > lease * NOT_RECEIVING_LEASES;
}

/**
 * Whether the worker may be looking for another way to the leader. Hundreds may do so at once after a
 * failover, or after the end of the node that relayed their heartbeats; that some have got through says
 * nothing about the others. The worker's lease decides in the end.
 */
function isReconnecting(machine: Machine, { unreachableAt }: LivenessView): boolean {
  if (machine.lastStatusAt === undefined) return true;
  if (machine.relayControllerId === undefined) return false;
  const relayLostAt = unreachableAt.get(machine.relayControllerId);
  return relayLostAt !== undefined && relayLostAt >= machine.lastStatusAt;
}

/** Whether a machine is silent for too long even if its whole zone is silent. */
function isGivenUp(machine: Machine, view: LivenessView): boolean {
  const silence = silenceOf(machine, view) ?? 0;
  if (isReconnecting(machine, view)) return silence > view.lease * ZONE_RECONNECT_LEASES;
  return !machine.isUp || silence > view.heartbeatInterval * EXPLAINED_SILENCE_INTERVALS;
}

/** How many machines of each zone are alive. */
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

/** How long a machine may be silent before that needs an explanation. */
export const silenceThreshold = (heartbeatInterval: DurationMs): DurationMs =>
  ms(heartbeatInterval * MAX_SILENCE_INTERVALS);
