/** Which machines are to be deleted because they are gone, or as good as gone: decided by silence. */
import type { Machine } from '../fleet/machine.js';
import { SteadyMs, ms, since, type DurationMs, type NodeId } from '../units/index.js';

/** A boot is given up after this many times the usual. */
const LOST_BOOT_FACTOR = 4;
/** Periods of silence, in reports: of a machine that the cloud's list lacks; of any other. */
const UNLISTED_HEARTBEATS = 1.5;
const SILENT_HEARTBEATS = 2.75;
/** The same where something else than the machine's end may explain its silence. */
const EXPLAINED_HEARTBEATS = 7;
/**
 * While most of a zone has not found its way back to us, none of it is given up for this many worker
 * leases: its tasks are over after one, and a machine that is well is worth more than a new one.
 */
const ZONE_RETURN_LEASES = 2;
/** A machine that hears nothing is given back after so many worker leases. */
const NOT_RECEIVING_LEASES = 1.2;

export interface LivenessView {
  readonly now: SteadyMs;
  /** Since when this process has answered reports without a break. */
  readonly listeningSince: SteadyMs;
  readonly heartbeatInterval: DurationMs;
  readonly lease: DurationMs;
  /** How long a machine of that type usually takes to boot. */
  readonly bootTime: (machineType: string) => DurationMs;
  /** When another node was last known not to answer us. */
  readonly unreachableAt: ReadonlyMap<NodeId, SteadyMs>;
}

/** Never booted, vanished from the list, silent, or deaf for too long; and what was told to go before. */
export function lostMachines(machines: Iterable<Machine>, view: LivenessView): Machine[] {
  const lost: Machine[] = [];
  const silent: Machine[] = [];
  const deaf: Machine[] = [];
  const zones = new ZoneContact();
  let total = 0;
  for (const m of machines) {
    total++;
    if (m.deleteSent || isBootOverdue(m, view)) {
      lost.push(m);
      continue;
    }
    const quiet = silenceOf(m, view);
    if (quiet === undefined) continue;
    if (
      m.notReceivingSince !== undefined &&
      since(m.notReceivingSince, view.now) > view.lease * NOT_RECEIVING_LEASES
    ) {
      deaf.push(m);
    }
    zones.count(m);
    if (m.missedLists >= 1 && quiet > view.heartbeatInterval * UNLISTED_HEARTBEATS) lost.push(m);
    else if (isReconnecting(m, view) && quiet <= view.heartbeatInterval * EXPLAINED_HEARTBEATS)
      continue;
    else if (quiet > view.heartbeatInterval * SILENT_HEARTBEATS) silent.push(m);
    else zones.countHeard(m);
  }
  // Where most of a zone is heard, a silent machine is dead. Where it is not, we may be cut off
  // from it: its tasks run on, and its worker may yet reach us through another node.
  for (const m of silent) if (zones.isMostlyHeard(m) || isGivenUp(m, view)) lost.push(m);
  // What a deaf machine had is over once its lease ran out. If most are deaf, it may be our own fault.
  if (2 * deaf.length < total) for (const m of deaf) if (!lost.includes(m)) lost.push(m);
  return lost;
}

function isBootOverdue(m: Machine, { now, bootTime }: LivenessView): boolean {
  if (m.bootingSince === undefined) return false;
  return since(m.bootingSince, now) > bootTime(m.kind.machineType) * LOST_BOOT_FACTOR;
}

/** How long it has been silent; undefined if it was never to be heard yet. */
function silenceOf(m: Machine, { now, listeningSince }: LivenessView): DurationMs | undefined {
  const last = m.lastHeardAt ?? m.listedRunningSince;
  if (last === undefined) return undefined;
  // Silence counts only while we listened: not before we led, nor while we answered 503.
  return since(SteadyMs(Math.max(last, listeningSince)), now);
}

/**
 * Whether its worker may be looking for a way to us. Hundreds may do so at once after a change of leader,
 * or after the end of the node that they reported through; those that get through first say nothing of
 * the others. In the end the worker's lease tells.
 */
function isReconnecting(m: Machine, { unreachableAt }: LivenessView): boolean {
  if (m.lastHeardAt === undefined) return true;
  const lost = m.relayNode === undefined ? undefined : unreachableAt.get(m.relayNode);
  return lost !== undefined && lost >= m.lastHeardAt;
}

/** Whether it is silent for too long even if its whole zone is. */
function isGivenUp(m: Machine, view: LivenessView): boolean {
  const quiet = silenceOf(m, view) ?? 0;
  if (isReconnecting(m, view)) return quiet > view.lease * ZONE_RETURN_LEASES;
  return !m.isUp || quiet > view.heartbeatInterval * EXPLAINED_HEARTBEATS;
}

/** How much of each zone is heard. */
class ZoneContact {
  private readonly total = new Map<string, number>();
  private readonly heard = new Map<string, number>();

  count({ kind: place }: Machine): void {
    this.total.set(place.zone, (this.total.get(place.zone) ?? 0) + 1);
  }

  countHeard({ kind: place }: Machine): void {
    this.heard.set(place.zone, (this.heard.get(place.zone) ?? 0) + 1);
  }

  isMostlyHeard({ kind: place }: Machine): boolean {
    return 2 * (this.heard.get(place.zone) ?? 0) > (this.total.get(place.zone) ?? 0);
  }
}

/** How long a machine that answers nothing counts as silent rather than dead. */
export const silenceThreshold = (report: DurationMs): DurationMs => ms(report * SILENT_HEARTBEATS);
