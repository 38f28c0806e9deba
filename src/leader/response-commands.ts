/** Chooses the commands that the response to a heartbeat carries. */
import type { Logger } from 'pino';
import type { Machine } from '../fleet/machine.js';
import { attemptKey, type WorkerStatus } from '../fleet/worker-status.js';
import type { Ledger } from '../ledger/ledger.js';
import { parseTaskKey } from '../units/index.js';
import { TaskState, type Command, type TaskStatus } from '../wire/index.js';
import type { AttemptClearance } from './attempt-clearance.js';
import { isCommitted, placementOfAttempt, shouldRequeueIfAbsent } from './placement-state.js';
import type { StartFencing } from './start-fencing.js';
import { attemptOf, clearCommand, killCommand, startCommand } from './task-commands.js';

/** A message with this many commands gets no further start commands, so that it fits in a response to a worker. */
export const MAX_COMMANDS_PER_MESSAGE = 300;

/**
 * Compares a machine's status, after it has been reconciled with the placements, with the tasks that should run there.
 * The only state kept about a response is which heartbeat a start command was a response to. The start command is
 * repeated in every response until a status shows the attempt.
 */
export class ResponseCommands {
  constructor(
    private readonly ledger: Pick<Ledger, 'jobs'>,
    private readonly fencing: Pick<StartFencing, 'fence'>,
    private readonly clearance: Pick<AttemptClearance, 'canClear'>,
    private readonly log: Logger,
  ) {}

  /**
   * Builds the commands for the worker that sent this status with a heartbeat. The machine's fencing token may be raised
   * for the response.
   */
  commandsForHeartbeat(machine: Machine, status: WorkerStatus): Command[] {
    this.fencing.fence(machine, status);
    const commands: Command[] = [];
    for (const task of status.tasks) {
      const command = this.commandForReportedTask(machine, task);
      if (command) commands.push(command);
    }
    this.logCleared(machine, commands);
    this.addStarts(commands, machine, status);
    return commands;
  }

  private logCleared(machine: Machine, commands: readonly Command[]): void {
    const { log } = this;
    if (!log.isLevelEnabled('debug')) return;
    const attempts = commands.filter(({ type }) => type === 'clear').map(attemptOf);
    if (attempts.length === 0) return;
    log.debug({ machine: machine.id, attempts }, 'worker is told to forget exited attempts');
  }

  private commandForReportedTask(machine: Machine, status: TaskStatus): Command | undefined {
    const { task, attempt, state } = status;
    const ref = parseTaskKey(task);
    // The task was not started by this service.
    if (!ref) return state === TaskState.exited ? clearCommand(task, attempt) : undefined;
    const job = this.ledger.jobs.get(ref.job);
    const placement = placementOfAttempt(job, ref.index, machine.id, attempt);
    if (state === TaskState.exited) {
      const canClear = this.clearance.canClear(machine, status, ref, job);
      return canClear ? clearCommand(task, attempt) : undefined;
    }
    if (!placement || job?.isCancelled) return killCommand(task, attempt, 0);
    const { evictionGraceSeconds } = placement;
    return evictionGraceSeconds === undefined
      ? undefined
      : killCommand(task, attempt, evictionGraceSeconds);
  }

  /** Adds start commands for assigned tasks that the status doesn't show. */
  private addStarts(commands: Command[], machine: Machine, status: WorkerStatus): void {
    for (const [key, assigned] of machine.assignments) {
      if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
      const job = this.ledger.jobs.get(assigned.job);
      const placement = job?.placements.get(assigned.index);
      const attempt = attemptKey(key, assigned.attempt);
      if (!job || !placement || status.byAttempt.has(attempt)) continue;
      if (isCommitted(job, placement) && !shouldRequeueIfAbsent(machine, job, placement)) {
        placement.startSentInResponseTo = { session: status.session, sequence: status.sequence };
        commands.push(startCommand(key, assigned.attempt));
      }
    }
  }
}
