/** The commands with which a heartbeat is answered. */
import type { Machine } from '../fleet/machine.js';
import { attemptKey, type WorkerStatus } from '../fleet/worker-status.js';
import type { Job, Placement } from '../ledger/job.js';
import type { Ledger } from '../ledger/ledger.js';
import { parseTaskKey } from '../units/index.js';
import { TaskState, type Command, type TaskStatus } from '../wire/index.js';
import { AttemptClearance } from './attempt-clearance.js';
import type { TermDependencies } from './term-dependencies.js';
import { isCommitted, shouldStopTask, placementOfAttempt } from './placement-state.js';
import { clear, kill, launch } from './task-commands.js';

/** No start is added to a message that has this many commands, so that it fits a response to a worker. */
export const MAX_COMMANDS = 300;

/**
 * Compares a machine's status, after it has been reconciled with the placements, with what should run there.
 * Nothing of a reply is remembered but which heartbeat a start was sent in reply to: it is sent again with each
 * reply until a status shows the attempt.
 */
export class ReplyCommands {
  private readonly clearance: AttemptClearance;

  constructor(
    private readonly ledger: Pick<Ledger, 'jobs' | 'finalState'>,
    deps: Pick<TermDependencies, 'clock' | 'settings'>,
  ) {
    this.clearance = new AttemptClearance(ledger, deps);
  }

  /** The commands for the worker that sent this status with a heartbeat. */
  commandsForResponse(machine: Machine, status: WorkerStatus): Command[] {
    const commands: Command[] = [];
    for (const task of status.tasks) {
      const command = this.commandForReported(machine, task);
      if (command) commands.push(command);
    }
    this.addStarts(commands, machine, status);
    return commands;
  }

  private commandForReported(machine: Machine, status: TaskStatus): Command | undefined {
    const { task, attempt, state } = status;
    const ref = parseTaskKey(task);
    // Not a task of this service.
    if (!ref) return state === TaskState.exited ? clear(task, attempt) : undefined;
    const job = this.ledger.jobs.get(ref.job);
    const placement = placementOfAttempt(job, ref.index, machine.id, attempt);
    if (state === TaskState.exited) {
      const isClear = !placement && this.clearance.canClear(machine, status, ref, job);
      return isClear ? clear(task, attempt) : undefined;
    }
    if (!placement || job?.isCancelled) return kill(task, attempt, 0);
    const { evictionGraceSeconds } = placement;
    return evictionGraceSeconds === undefined
      ? undefined
      : kill(task, attempt, evictionGraceSeconds);
  }

  /** Adds the starts of assigned tasks that the status doesn't show. */
  private addStarts(commands: Command[], machine: Machine, status: WorkerStatus): void {
    for (const [key, assigned] of machine.assignments) {
      if (commands.length >= MAX_COMMANDS) break;
      const job = this.ledger.jobs.get(assigned.job);
      const placement = job?.placements.get(assigned.index);
      const attempt = attemptKey(key, assigned.attempt);
      if (!job || !placement || status.byAttempt.has(attempt)) continue;
      if (shouldStopTask(job, placement)) {
        // A pushed start may still be delivered. Executed and stopped here, it has no effect then.
        if (machine.pushedStarts.isUnacknowledged(attempt))
          commands.push(launch(key, assigned.attempt), kill(key, assigned.attempt, 0));
      } else if (
        isStartable(job, placement) &&
        (!machine.isDraining || machine.pushedStarts.isUnacknowledged(attempt))
      ) {
        placement.sentInReplyTo = { session: status.session, sequence: status.sequence };
        commands.push(launch(key, assigned.attempt));
      }
    }
  }
}

/** An inherited placement is not started but queued again once its task is proven absent. */
const isStartable = (job: Job, placement: Placement): boolean =>
  !placement.isInherited && isCommitted(job, placement);
