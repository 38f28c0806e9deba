/** Messages between users and controllers: submissions, job states and cancellations. */
import * as z from 'zod';
import { decode, decodeOrUndefined, isMap, MAX_BODY_BYTES } from './codec.js';

/** The pattern of job ids. */
export const JOB_ID_PATTERN = /^run-\d{6,20}$/;
/** The maximum number of tasks in a job. */
export const MAX_TASKS_PER_JOB = 100_000;

/** The field that names a job's team, in all messages to and from users and in final records. */
export const TEAM_FIELD = 'desk';
/** The field of a submission that holds its number of tasks. */
export const TASK_COUNT_FIELD = 'entries';

/**
 * How the tasks of a job relate to each other. Controllers distinguish only `array` and `gang`; `service` is a value
 * of the workers' protocol and is treated as an array.
 */
export const JobKind = {
  /** Independent tasks, each of which runs to completion. */
  array: 'sweep',
  /** Gang scheduling: either all tasks run at the same time or none does. */
  gang: 'ensemble',
  /** Runs until it is cancelled. */
  service: 'daemon',
} as const;
export type JobKind = (typeof JobKind)[keyof typeof JobKind];

/** Scheduling priorities, highest first. */
export const PRIORITIES = ['prod', 'high', 'normal', 'low'] as const;
export type Priority = (typeof PRIORITIES)[number];

const name = z.string().min(1).max(120);
const amount = z.number().nonnegative();

/** The message of a submission. Its fields must keep their order, since compact records depend on it. */
export const SubmissionMessage = z.object({
  name_id: z.string().regex(JOB_ID_PATTERN),
  docket: name,
  desk: name,
  shape: z.enum(JobKind),
  urgency: z.enum(PRIORITIES),
  entries: z.number().int().min(1).max(MAX_TASKS_PER_JOB),
  vcpus: amount.positive(),
  gpus: amount,
  ram_gb: amount,
  bundle: name,
  size_gb: amount,
  builds: z
    .array(z.string().min(1).max(60))
    .max(16)
    .nullish()
    .transform((value) => value ?? null),
  hall: name.nullish().transform((value) => value ?? null),
  together: z.boolean(),
  apart: z.boolean(),
  loaners: z.boolean(),
  expected_s: amount,
  stamp_every_s: amount,
  stamp_s: amount,
  due_s: amount.nullish().transform((value) => value ?? null),
});
export type SubmissionMessage = z.infer<typeof SubmissionMessage>;

/** The job that a user submits: what runs, which resources each task requires, and where it may run. */
export interface JobSpec {
  readonly id: string;
  /** The job class, for which service-level objectives can be set. */
  readonly jobClass: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly taskCount: number;
  /** CPUs, GPUs and memory (in GB) that each task requires. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** The image that a machine must have fetched before a task can start, and its size in GB. */
  readonly image: string;
  readonly imageSizeGb: number;
  /** The allowed machine types; null: any. */
  readonly machineTypes: readonly string[] | null;
  /** The only allowed zone; null: any. */
  readonly zone: string | null;
  /** All tasks must be in the same zone. */
  readonly singleZone: boolean;
  /** At most half of the tasks, rounded up, may be in one zone. */
  readonly spreadZones: boolean;
  /** Whether spot machines may be used. */
  readonly allowSpot: boolean;
  /** The owner's estimate of a task's run time, in seconds. */
  readonly expectedRuntimeSeconds: number;
  /** Seconds of progress between checkpoints; 0: the task never saves a checkpoint. */
  readonly checkpointIntervalSeconds: number;
  /** How long a task takes to save a checkpoint when it is stopped, in seconds. */
  readonly checkpointSeconds: number;
  /** The time from submission by which the job should have finished, in seconds; null: no deadline. */
  readonly deadlineSeconds: number | null;
}

/** Decodes a valid submission. */
export const decodeJobSpec = (message: SubmissionMessage): JobSpec => ({
  id: message.name_id,
  jobClass: message.docket,
  team: message.desk,
  kind: message.shape,
  priority: message.urgency,
  taskCount: message.entries,
  cpus: message.vcpus,
  gpus: message.gpus,
  memoryGb: message.ram_gb,
  image: message.bundle,
  imageSizeGb: message.size_gb,
  machineTypes: message.builds,
  zone: message.hall,
  singleZone: message.together,
  spreadZones: message.apart,
  allowSpot: message.loaners,
  expectedRuntimeSeconds: message.expected_s,
  checkpointIntervalSeconds: message.stamp_every_s,
  checkpointSeconds: message.stamp_s,
  deadlineSeconds: message.due_s,
});

/** Encodes a job as a submission. */
export const encodeJobSpec = (spec: JobSpec): SubmissionMessage => ({
  name_id: spec.id,
  docket: spec.jobClass,
  desk: spec.team,
  shape: spec.kind,
  urgency: spec.priority,
  entries: spec.taskCount,
  vcpus: spec.cpus,
  gpus: spec.gpus,
  ram_gb: spec.memoryGb,
  bundle: spec.image,
  size_gb: spec.imageSizeGb,
  builds: spec.machineTypes === null ? null : [...spec.machineTypes],
  hall: spec.zone,
  together: spec.singleZone,
  apart: spec.spreadZones,
  loaners: spec.allowSpot,
  expected_s: spec.expectedRuntimeSeconds,
  stamp_every_s: spec.checkpointIntervalSeconds,
  stamp_s: spec.checkpointSeconds,
  due_s: spec.deadlineSeconds,
});

/** The fields of a submission except its id, which is the first field. */
const VALUE_FIELDS = Object.keys(SubmissionMessage.shape).slice(1);

/** Encodes a job without its id, as a list of values in the order of the message's fields. */
export const encodeJobSpecValues = (spec: JobSpec): unknown[] =>
  Object.values(encodeJobSpec(spec)).slice(1);

/** Decodes a job from its id and values. Throws a `ZodError` if the values do not describe a job. */
export function decodeJobSpecValues(id: string, values: readonly unknown[]): JobSpec {
  const fields = Object.fromEntries(VALUE_FIELDS.map((field, i) => [field, values[i]]));
  return decodeJobSpec(SubmissionMessage.parse({ ...fields, name_id: id }));
}

/** The status values of a job in messages to users. */
export const JobStatus = {
  /** No task is running. */
  pending: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
} as const;
export type JobStatus = (typeof JobStatus)[keyof typeof JobStatus];

/** The state of a job. The task counts and the team are left out where only the status is known. */
export interface JobState {
  readonly id: string;
  readonly status: JobStatus;
  /** The numbers of tasks that are done and running. */
  readonly done?: number;
  readonly running?: number;
  readonly team?: string;
  /** Why the job has finished, as a sentence. */
  readonly reason?: string;
}

/** Encodes the state of a job for users. */
export const encodeJobState = ({
  id,
  status,
  done,
  running,
  team,
  reason,
}: JobState): Record<string, unknown> => ({
  name_id: id,
  status,
  ...(done === undefined ? {} : { done }),
  ...(running === undefined ? {} : { running }),
  ...(team === undefined ? {} : { [TEAM_FIELD]: team }),
  ...(reason === undefined ? {} : { cause: reason }),
});

const JOB_STATUSES: ReadonlySet<unknown> = new Set(Object.values(JobStatus));
const isJobStatus = (value: unknown): value is JobStatus => JOB_STATUSES.has(value);

/** The id and status in an encoded job state, as a map or as CBOR; undefined if `body` is something else. */
export function jobStateIn(body: unknown): Pick<JobState, 'id' | 'status'> | undefined {
  const value = Buffer.isBuffer(body) ? decodeOrUndefined(body) : body;
  if (!isMap(value)) return undefined;
  const { name_id: id, status } = value;
  return typeof id === 'string' && isJobStatus(status) ? { id, status } : undefined;
}

/** The result of parsing; `reason` is one line. */
export type ParseResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly reason: string };

/**
 * Decodes only the job id of a submission; undefined if it has none. A repeated submission of a known job thus
 * receives a response even if the rest of its body is invalid.
 */
export function decodeSubmissionId(body: Uint8Array): string | undefined {
  if (body.length > MAX_BODY_BYTES) return undefined;
  const value = decodeOrUndefined(body);
  if (!isMap(value)) return undefined;
  const id = value.name_id;
  return typeof id === 'string' && JOB_ID_PATTERN.test(id) ? id : undefined;
}

/** Parses and validates the body of a submission; `reason` names the invalid field. */
export function parseSubmission(body: Uint8Array): ParseResult<JobSpec> {
  if (body.length > MAX_BODY_BYTES) return { ok: false, reason: 'body over 64 KiB' };
  let value: unknown;
  try {
    value = decode(body);
  } catch {
    return { ok: false, reason: 'body is not CBOR' };
  }
  if (!isMap(value)) return { ok: false, reason: 'body is not a map' };
  const parsed = SubmissionMessage.safeParse(value);
  if (parsed.success) return { ok: true, value: decodeJobSpec(parsed.data) };
  const issue = parsed.error.issues[0];
  return { ok: false, reason: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}` };
}
