/**
 * The small types of the project: ids, revisions, epochs, steady and wall times, durations.
 * A brand costs nothing at run time and keeps a wall time from being compared with a steady one.
 */
declare const brand: unique symbol;
type Brand<T, B extends string> = T & { readonly [brand]: B };

export type JobId = Brand<string, 'JobId'>;
export type MachineId = Brand<string, 'MachineId'>;
export type NodeId = Brand<string, 'NodeId'>;
export type Endpoint = Brand<string, 'Endpoint'>;
/** `<job>/<index>`, the name of one task. */
export type TaskKey = Brand<string, 'TaskKey'>;
/** A revision of the state service. */
export type Revision = Brand<number, 'Revision'>;
/** The revision of the transaction that wrote the leader key. */
export type Epoch = Brand<number, 'Epoch'>;
/** Rises with each placement batch of a job, so no two placements of a task share one. */
export type Attempt = Brand<number, 'Attempt'>;
/** Milliseconds on this process's steady clock. */
export type SteadyMs = Brand<number, 'SteadyMs'>;
/** Milliseconds since 1970 by the time of day, good within the platform's bound. */
export type WallMs = Brand<number, 'WallMs'>;
export type DurationMs = Brand<number, 'DurationMs'>;

export const JobId = (s: string): JobId => s as JobId;
export const MachineId = (s: string): MachineId => s as MachineId;
export const NodeId = (s: string): NodeId => s as NodeId;
export const Endpoint = (s: string): Endpoint => s as Endpoint;
export const Revision = (n: number): Revision => n as Revision;
export const Epoch = (n: number): Epoch => n as Epoch;
export const Attempt = (n: number): Attempt => n as Attempt;
export const SteadyMs = (n: number): SteadyMs => n as SteadyMs;
export const WallMs = (n: number): WallMs => n as WallMs;
export const ms = (n: number): DurationMs => n as DurationMs;
export const seconds = (n: number): DurationMs => (n * 1000) as DurationMs;

export const later = (t: SteadyMs, d: DurationMs): SteadyMs => (t + d) as SteadyMs;
export const since = (from: SteadyMs, to: SteadyMs): DurationMs => (to - from) as DurationMs;

export const taskKey = (job: JobId, index: number): TaskKey => `${job}/${index}` as TaskKey;

export interface TaskRef {
  readonly job: JobId;
  readonly index: number;
}

/** Splits a task's name; undefined if it is not one (workers may report anything). */
export function parseTaskKey(key: string): TaskRef | undefined {
  const cut = key.lastIndexOf('/');
  if (cut <= 0) return undefined;
  const index = Number(key.slice(cut + 1));
  if (!Number.isSafeInteger(index) || index < 0) return undefined;
  return { job: JobId(key.slice(0, cut)), index };
}

/** Steady clocks of two machines drift apart by at most this share. */
export const MAX_DRIFT = 0.0005;

/** A span that has surely passed on every clock once it has passed, so stretched, on ours. */
export const stretched = (d: DurationMs): DurationMs => ms(d * (1 + 2 * MAX_DRIFT));
/** A span that has surely not passed on any clock while it has not, so shrunk, on ours. */
export const shrunk = (d: DurationMs): DurationMs => ms(d * (1 - 2 * MAX_DRIFT));

export interface Timer {
  cancel(): void;
}

/** Time comes in from outside, so that tests can own it. */
export interface Clock {
  steady(): SteadyMs;
  wall(): WallMs;
  after(delay: DurationMs, run: () => void): Timer;
}

export const sleep = (clock: Clock, delay: DurationMs): Promise<void> =>
  new Promise((resolve) => {
    clock.after(delay, resolve);
  });

/** Randomness comes in from outside too: a number in [0, 1). */
export type Random = () => number;
