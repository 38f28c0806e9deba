import * as z from 'zod';
import { decode, isMap, MAX_BODY } from './codec.js';

/** User-facing messages: submissions, their states and cancellations. */
export const JOB_ID = /^run-\d{6,20}$/;
export const MAX_TASKS = 100_000;

const name = z.string().min(1).max(120);
const amount = z.number().finite().nonnegative();

export const Urgency = z.enum(['prod', 'high', 'normal', 'low']);
export type Urgency = z.infer<typeof Urgency>;

/**
 * `sweep`: independent tasks. The other two are not on the protocol's page but among the words of the
 * workers: `ensemble` runs whole or not at all, `daemon` until it is cancelled.
 */
export const Shape = z.enum(['sweep', 'ensemble', 'daemon']);

export const JobSpec = z.object({
  name_id: z.string().regex(JOB_ID),
  docket: name,
  desk: name,
  shape: Shape,
  urgency: Urgency,
  entries: z.number().int().min(1).max(MAX_TASKS),
  vcpus: amount.positive(),
  gpus: amount,
  ram_gb: amount,
  bundle: name,
  size_gb: amount,
  builds: z
    .array(z.string().min(1).max(60))
    .max(16)
    .nullish()
    .transform((v) => v ?? null),
  hall: name.nullish().transform((v) => v ?? null),
  together: z.boolean(),
  apart: z.boolean(),
  loaners: z.boolean(),
  expected_s: amount,
  stamp_every_s: amount,
  stamp_s: amount,
  due_s: amount.nullish().transform((v) => v ?? null),
});
export type JobSpec = z.infer<typeof JobSpec>;

export type JobStatus = 'pending' | 'running' | 'done' | 'aborted';

export interface JobState {
  readonly name_id: string;
  readonly status: JobStatus;
  readonly done: number;
  readonly running: number;
}

export type Parsed<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly why: string };

/** The id alone, so that a repeat of a known job is answered even when its body would be refused. */
export function submissionId(body: Uint8Array): string | undefined {
  if (body.length > MAX_BODY) return undefined;
  try {
    const value = decode(body);
    if (!isMap(value)) return undefined;
    const id = value['name_id'];
    return typeof id === 'string' && JOB_ID.test(id) ? id : undefined;
  } catch {
    return undefined;
  }
}

export function parseSubmission(body: Uint8Array): Parsed<JobSpec> {
  if (body.length > MAX_BODY) return { ok: false, why: 'body over 64 KiB' };
  let value: unknown;
  try {
    value = decode(body);
  } catch {
    return { ok: false, why: 'body is not CBOR' };
  }
  if (!isMap(value)) return { ok: false, why: 'body is not a map' };
  const parsed = JobSpec.safeParse(value);
  if (parsed.success) return { ok: true, value: parsed.data };
  const issue = parsed.error.issues[0];
  return { ok: false, why: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}` };
}
