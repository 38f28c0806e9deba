/** Messages between workers and controllers: heartbeats with the status of a machine, and commands. */
import * as z from 'zod';

/** The state of a task on its worker. Other values are passed on unchanged. */
export const TaskState = {
  /** The task waits until its image has been fetched. */
  fetching: 'fetching',
  /** A task of a gang that waits for the other tasks of its attempt. */
  gathering: 'gathering',
  running: 'running',
  /** The task writes a checkpoint after a command to stop. */
  saving: 'flushing',
  /** The task has ended; its exit reason says why. */
  exited: 'exited',
} as const;

/** Why a task ended. Other values are passed on unchanged. */
export const ExitReason = {
  /** Completed. */
  done: 'done',
  /** Stopped by command. */
  stopped: 'halted',
  /** Failed, in most cases because of its machine. */
  failed: 'error',
  /** Start refused: not enough free resources on the machine. */
  insufficientResources: 'full',
  /** Start refused: the task is on the machine with another attempt. */
  attemptConflict: 'in_use',
  /** Start refused: the worker does not know the job or the task. */
  unknownTask: 'no_such',
  /** Another task of the gang has ended or is unreachable. */
  gangMemberLost: 'peers',
  /** The gang was not complete in time. */
  gangIncomplete: 'incomplete',
} as const;

const count = z.number().int().nonnegative();

const TaskStatusMessage = z.object({
  entry: z.string(),
  try: count,
  status: z.string(),
  cause: z.string().nullish(),
  kept: z.boolean().nullish(),
});

const HeartbeatMessage = z.object({
  box: z.string().min(1),
  addr: z.string(),
  build: z.string(),
  hall: z.string(),
  loaners: z.boolean(),
  shift: count,
  tally: count,
  baton: count,
  recall_s: z.number().nullish(),
  entries: z.array(TaskStatusMessage),
});
type HeartbeatMessage = z.infer<typeof HeartbeatMessage>;

/** One task on a machine. */
export interface TaskStatus {
  /** `<job>/<index>` */
  readonly task: string;
  readonly attempt: number;
  /** One of `TaskState`. */
  readonly state: string;
  /** One of `ExitReason`, of an exited task. */
  readonly exitReason?: string | null | undefined;
  /** Whether the progress of a stopped task was saved. */
  readonly checkpointSaved?: boolean | null | undefined;
}

/** A worker's heartbeat, with the status of its machine. */
export interface Heartbeat {
  readonly machine: string;
  readonly address: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The worker's session number, which rises each time its lease expires. */
  readonly session: number;
  /** The number of the message within its session, which rises with each message. */
  readonly sequence: number;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: number;
  /** Seconds until the cloud reclaims the machine, if it has sent a reclaim notice. */
  readonly reclaimNoticeSeconds?: number | null | undefined;
  readonly tasks: readonly TaskStatus[];
}

/** Decodes a heartbeat; undefined if the message is not one. */
export function decodeHeartbeat(message: unknown): Heartbeat | undefined {
  const parsed = HeartbeatMessage.safeParse(message);
  return parsed.success ? toHeartbeat(parsed.data) : undefined;
}

const toHeartbeat = (message: HeartbeatMessage): Heartbeat => ({
  machine: message.box,
  address: message.addr,
  machineType: message.build,
  zone: message.hall,
  spot: message.loaners,
  session: message.shift,
  sequence: message.tally,
  fencingToken: message.baton,
  reclaimNoticeSeconds: message.recall_s ?? null,
  tasks: message.entries.map(toTaskStatus),
});

const toTaskStatus = (message: z.infer<typeof TaskStatusMessage>): TaskStatus => ({
  task: message.entry,
  attempt: message.try,
  state: message.status,
  exitReason: message.cause ?? null,
  checkpointSaved: message.kept ?? null,
});

/** The fields of all commands, which name one attempt of a task. */
export interface TaskCommand {
  /** `<job>/<index>` */
  readonly task: string;
  readonly attempt: number;
}

/** Starts a task (`launch`), or removes one that has exited (`clear`). */
export interface StartOrClearCommand extends TaskCommand {
  readonly type: 'launch' | 'clear';
}

/** Stops a task. It first writes a checkpoint if the grace period is long enough. */
export interface KillCommand extends TaskCommand {
  readonly type: 'kill';
  readonly gracePeriodSeconds: number;
}

/** A command to a worker. */
export type Command = StartOrClearCommand | KillCommand;

/** The response to a heartbeat, which renews the worker's lease. */
export interface WorkerHeartbeatResponse {
  readonly fencingToken: number;
  readonly commands: readonly Command[];
}

/**
 * A request with direct commands. A worker rejects it if the fencing token is lower than the highest that the worker
 * has seen, or if the session is not its current one.
 */
export interface CommandRequest extends WorkerHeartbeatResponse {
  readonly session: number;
}

const taskFields = z.object({ entry: z.string(), try: count });
const CommandMessage = z.discriminatedUnion('verb', [
  taskFields.extend({ verb: z.literal('launch') }),
  taskFields.extend({ verb: z.literal('clear') }),
  taskFields.extend({ verb: z.literal('kill'), wind_down_s: z.number() }),
]);
type CommandMessage = z.infer<typeof CommandMessage>;
const WorkerHeartbeatResponseMessage = z.object({ baton: count, orders: z.array(CommandMessage) });

/** Encodes a command. */
export function encodeCommand(command: Command): CommandMessage {
  const { task, attempt } = command;
  return command.type === 'kill'
    ? { verb: command.type, entry: task, try: attempt, wind_down_s: command.gracePeriodSeconds }
    : { verb: command.type, entry: task, try: attempt };
}

/** Decodes a command. Throws a `ZodError` if the message is not one. */
export function decodeCommand(value: unknown): Command {
  const message = CommandMessage.parse(value);
  const command = { task: message.entry, attempt: message.try };
  return message.verb === 'kill'
    ? { type: message.verb, ...command, gracePeriodSeconds: message.wind_down_s }
    : { type: message.verb, ...command };
}

/** Encodes the response to a heartbeat. */
export const encodeWorkerHeartbeatResponse = ({
  fencingToken,
  commands,
}: WorkerHeartbeatResponse): object => ({
  baton: fencingToken,
  orders: commands.map(encodeCommand),
});

/** For clients: decodes the response to a heartbeat. Throws a `ZodError` if the message is not one. */
export function decodeWorkerHeartbeatResponse(value: unknown): WorkerHeartbeatResponse {
  const { baton, orders } = WorkerHeartbeatResponseMessage.parse(value);
  return { fencingToken: baton, commands: orders.map(decodeCommand) };
}

/** Encodes a request with direct commands. */
export const encodeCommandRequest = ({
  fencingToken,
  session,
  commands,
}: CommandRequest): object => ({
  baton: fencingToken,
  shift: session,
  orders: commands.map(encodeCommand),
});

/** Encodes the body of a 421 response, which redirects the worker to another controller. */
export const encodeRedirect = (controllerId: string): object => ({ clerk: controllerId });

/** For clients: encodes a heartbeat. */
export const encodeHeartbeat = (heartbeat: Heartbeat): HeartbeatMessage => ({
  box: heartbeat.machine,
  addr: heartbeat.address,
  build: heartbeat.machineType,
  hall: heartbeat.zone,
  loaners: heartbeat.spot,
  shift: heartbeat.session,
  tally: heartbeat.sequence,
  baton: heartbeat.fencingToken,
  recall_s: heartbeat.reclaimNoticeSeconds ?? null,
  entries: heartbeat.tasks.map((status) => ({
    entry: status.task,
    try: status.attempt,
    status: status.state,
    cause: status.exitReason ?? null,
    kept: status.checkpointSaved ?? null,
  })),
});
