/** Baselines: heartbeats that the leader has accepted, and which later, unchanged heartbeats refer to. */
import type { RelayedHeartbeat } from '../peer/messages.js';
import { ms, type SteadyMs } from '../units/index.js';
import { ExpiringMap } from '../units/expiring-map.js';
import type { Heartbeat, TaskStatus } from '../wire/index.js';

/** After this time the baselines of machines that now send heartbeats to another controller are dropped. */
const BASELINE_TTL = ms(30_000);

/** The latest heartbeat of a machine that this controller relayed and the leader accepted. */
interface Baseline {
  /** The number that the leader assigned. */
  readonly id: number;
  readonly heartbeat: Heartbeat;
}

/** The baselines of the machines whose heartbeats this controller relays, all from one epoch. */
export class Baselines {
  private byMachine = new ExpiringMap<string, Baseline>(BASELINE_TTL);
  private currentEpoch = 0;

  /** The epoch in which the baselines were assigned; 0 before the first one. */
  get epoch(): number {
    return this.currentEpoch;
  }

  /** Drops all baselines if they are from another epoch: only the leader that assigned them knows them. */
  switchToEpoch(epoch: number): void {
    if (epoch === this.currentEpoch) return;
    this.byMachine = new ExpiringMap(BASELINE_TTL);
    this.currentEpoch = epoch;
  }

  /** Records a heartbeat that the leader accepted; `id` is 0 if later heartbeats can't refer to it. */
  recordAccepted(heartbeat: Heartbeat, id: number, now: SteadyMs): void {
    if (id === 0) this.byMachine.delete(heartbeat.machine);
    else this.byMachine.set(heartbeat.machine, { id, heartbeat }, now);
  }

  /** Returns the shortest form in which a heartbeat can be relayed. */
  toRelayedHeartbeat(heartbeat: Heartbeat): RelayedHeartbeat {
    const baseline = this.byMachine.get(heartbeat.machine);
    if (!baseline || !isUnchanged(baseline.heartbeat, heartbeat)) {
      return { kind: 'full', heartbeat };
    }
    return {
      kind: 'unchanged',
      machine: heartbeat.machine,
      session: heartbeat.session,
      sequence: heartbeat.sequence,
      fencingToken: heartbeat.fencingToken,
      unchangedSince: baseline.id,
    };
  }
}

/** Whether two heartbeats of a machine differ only in their sequence numbers and fencing tokens. */
export function isUnchanged(a: Heartbeat, b: Heartbeat): boolean {
  return (
    a.session === b.session &&
    a.address === b.address &&
    // The remaining time of a reclaim notice changes with each heartbeat.
    (a.reclaimNoticeSeconds ?? null) === null &&
    (b.reclaimNoticeSeconds ?? null) === null &&
    a.tasks.length === b.tasks.length &&
    a.tasks.every((status, i) => isSameTaskStatus(status, b.tasks[i]))
  );
}

function isSameTaskStatus(a: TaskStatus, b: TaskStatus | undefined): boolean {
  return (
    a.task === b?.task &&
    a.attempt === b.attempt &&
    a.state === b.state &&
    (a.exitReason ?? null) === (b.exitReason ?? null) &&
    (a.checkpointSaved ?? null) === (b.checkpointSaved ?? null)
  );
}
