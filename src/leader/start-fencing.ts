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
import { isForgettable, type AttemptClearance } from './attempt-clearance.js';
import type { FencingTokens } from './fencing-tokens.js';
import { placementOfAttempt, shouldRequeueIfAbsent } from './placement-state.js';

/** A machine's token is raised at most this often to let its worker forget attempts, since each raise may cost a heartbeat. */
const MIN_CLEARANCE_INTERVAL = seconds(60);

/** So many direct starts of a machine are kept track of until its token is raised. */
const MAX_TRACKED_STARTS = 100;

/** What the arrival of a direct start at a worker would do. */
type LateStartEffect =
  /** Nothing, now or later. */
  | 'none'
  /** The worker knows the attempt, the task should run there, or it is done and exits at once. */
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
    private readonly clearance: Pick<AttemptClearance, 'rerunEffect'>,
    private readonly clock: Pick<Clock, 'steady'>,
  ) {}

  /** Raises the machine's token, for the response to its newest status, if a direct start must not be executed any more. */
  fence(machine: Machine, status: WorkerStatus): void {
    if (this.isFencingDue(machine, status, this.clock.steady())) this.raise(machine);
  }

  /**
   * The token for the response to a status that is older than the machine's newest one. Its worker may have restarted, and
   * then knows no more than the status shows. The response may be the first one that it gets, and must not let it execute
   * any start that it has forgotten.
   */
  tokenForStaleStatus(machine: Machine, status: WorkerStatus): number {
    return this.tokenForUncertainReceiver(machine, (attempt, start) => {
      if (status.byAttempt.has(attempt)) return false;
      return this.mayBeForgotten(status) || this.isHarmful(machine, start);
    });
  }

  /** The token for a request to the worker, which may have restarted since its newest status and know no attempt. */
  tokenForRequest(machine: Machine): number {
    return this.tokenForUncertainReceiver(machine, (_attempt, start) =>
      this.isHarmful(machine, start),
    );
  }

  private tokenForUncertainReceiver(
    machine: Machine,
    mustBeFenced: (attempt: string, start: DirectStart) => boolean,
  ): number {
    const { directStarts, fencing } = machine;
    const token = this.tokens.tokenFor(machine);
    for (const [attempt, start] of directStarts) {
      if (fencing.isRaiseDue) break;
      fencing.isRaiseDue = start.fencingToken >= token && mustBeFenced(attempt, start);
    }
    if (fencing.isRaiseDue) this.raise(machine);
    return this.tokens.tokenFor(machine);
  }

  /**
   * Whether the worker may have executed and forgotten all starts that the status does not show, since it shows no token of
   * this term. Their tasks can still be moved by a report from before the restart that arrives later.
   */
  private mayBeForgotten(status: WorkerStatus): boolean {
    return this.tokens.isFromEarlierTerm(status.fencingToken);
  }

  private isHarmful(machine: Machine, start: DirectStart): boolean {
    return this.effectOf(start, machine, undefined) === 'harmful';
  }

  /** If the token can't be raised, nothing was committed since the starts were sent, so that no task has been moved yet. */
  private raise(machine: Machine): void {
    this.tokens.raise(machine, this.clock.steady());
  }

  private isFencingDue(machine: Machine, status: WorkerStatus, now: SteadyMs): boolean {
    const { directStarts, fencing } = machine;
    if (fencing.isRaiseDue) return true;
    const token = this.tokens.tokenFor(machine);
    let preventsClearance = directStarts.size > MAX_TRACKED_STARTS;
    for (const [key, start] of directStarts) {
      const reported = status.byAttempt.get(key);
      const isRunning = reported !== undefined && reported.state !== TaskState.exited;
      if (isRunning || start.fencingToken < token) continue;
      if (!reported && this.mayBeForgotten(status)) return true;
      const effect = this.effectOf(start, machine, reported);
      if (effect === 'harmful') return true;
      if (effect === 'none') directStarts.remove(key);
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
    if (!ref) return 'harmful';
    const job = this.jobs.get(ref.job);
    const isNeeded = reported
      ? !isForgettable(machine, reported, ref, job)
      : isStartWanted(machine, job, ref.index, attempt);
    if (isNeeded) return 'harmless';
    switch (this.clearance.rerunEffect(ref, job)) {
      case 'harmless':
        return reported ? 'harmless' : 'none';
      case 'harmlessNow':
        return 'harmless';
      case 'forbidden':
        return reported ? 'preventsClearance' : 'harmful';
    }
  }
}

/** Whether the attempt is placed on the machine and should run there. */
function isStartWanted(
  machine: Machine,
  job: Job | undefined,
  index: number,
  attempt: number,
): boolean {
  const placement = placementOfAttempt(job, index, machine.id, attempt);
  return job && placement ? !shouldRequeueIfAbsent(machine, job, placement) : false;
}

/** Whether the token may be raised only to let the worker forget attempts. It would refuse a command in flight. */
function canRaiseForClearance({ hasCommandInFlight, fencing }: Machine, now: SteadyMs): boolean {
  if (hasCommandInFlight) return false;
  const { raisedAt } = fencing;
  return raisedAt === undefined || durationBetween(raisedAt, now) >= MIN_CLEARANCE_INTERVAL;
}
