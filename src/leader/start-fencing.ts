/** Decides when a machine's fencing token is raised, so that its worker refuses earlier direct starts. */
import type { DirectStart } from '../fleet/direct-starts.js';
import type { Machine } from '../fleet/machine.js';
import type { WorkerStatus } from '../fleet/worker-status.js';
import type { Job } from '../ledger/job.js';
import {
  parseTaskKey,
  seconds,
  durationBetween,
  type Clock,
  type JobId,
  type SteadyMs,
} from '../units/index.js';
import { TaskState, type TaskStatus } from '../wire/index.js';
import { isForgettable } from './attempt-clearance.js';
import type { FencingTokens } from './fencing-tokens.js';
import { placementOfAttempt, shouldRequeueIfAbsent } from './placement-state.js';

/** A machine's token is raised at most this often to let its worker forget attempts, since each raise may cost a heartbeat. */
const MIN_CLEARANCE_INTERVAL = seconds(30);

/** What the arrival of a direct start at a worker would do. */
type LateStartEffect =
  /** The worker knows the attempt, or the task should run there. */
  | 'harmless'
  /** Nothing while the worker knows the attempt, which it could forget otherwise. */
  | 'preventsClearance'
  /** The task would run where it should not. */
  | 'harmful';

/** Raises the tokens of machines during one term. */
export class StartFencing {
  constructor(
    private readonly jobs: ReadonlyMap<JobId, Job>,
    private readonly tokens: FencingTokens,
    private readonly clock: Pick<Clock, 'steady'>,
  ) {}

  /** Raises the machine's token, for the response to this status, if a direct start must not be executed any more. */
  fence(machine: Machine, status: WorkerStatus): void {
    const now = this.clock.steady();
    if (!this.isFencingDue(machine, status, now) || !this.tokens.raise(machine)) return;
    machine.isTokenRaiseDue = false;
    machine.tokenRaisedAt = now;
  }

  private isFencingDue(machine: Machine, status: WorkerStatus, now: SteadyMs): boolean {
    if (machine.isTokenRaiseDue) return true;
    const { directStarts } = machine;
    const token = this.tokens.tokenFor(machine);
    let preventsClearance = false;
    for (const [key, start] of directStarts) {
      const reported = status.byAttempt.get(key);
      const isRunning = reported !== undefined && reported.state !== TaskState.exited;
      if (isRunning || start.fencingToken < token) continue;
      const effect = this.effectOf(start, machine, reported);
      if (effect === 'harmful') return true;
      preventsClearance ||= effect === 'preventsClearance';
    }
    return preventsClearance && canRaiseForClearance(machine, now);
  }

  private effectOf(
    { task, attempt }: DirectStart,
    machine: Machine,
    reported: TaskStatus | undefined,
  ): LateStartEffect {
    const ref = parseTaskKey(task);
    const job = ref && this.jobs.get(ref.job);
    if (ref && reported)
      return isForgettable(machine, reported, ref, job) ? 'preventsClearance' : 'harmless';
    const placement = ref && placementOfAttempt(job, ref.index, machine.id, attempt);
    return job && placement && !shouldRequeueIfAbsent(machine, job, placement)
      ? 'harmless'
      : 'harmful';
  }
}

/** Whether the token may be raised only to let the worker forget attempts. It would refuse a command in flight. */
function canRaiseForClearance(
  { hasCommandInFlight, tokenRaisedAt }: Machine,
  now: SteadyMs,
): boolean {
  if (hasCommandInFlight) return false;
  return (
    tokenRaisedAt === undefined || durationBetween(tokenRaisedAt, now) >= MIN_CLEARANCE_INTERVAL
  );
}
