/**
 * The small types of the project: ids, revisions, epochs, steady and wall times, durations. A brand costs nothing at
 * run time, and keeps a wall time from being compared with a steady one.
 */

declare const brand: unique symbol;
type Brand<T, B extends string> = T & { readonly [brand]: B };

/** The id of a job, chosen by its user. */
export type JobId = Brand<string, 'JobId'>;
/** The id of a machine, chosen by the cloud. */
export type MachineId = Brand<string, 'MachineId'>;
/** The name of a controller. */
export type ControllerId = Brand<string, 'ControllerId'>;
/** An IPv4 address with a port, as `10.0.0.1:8080`. */
export type Endpoint = Brand<string, 'Endpoint'>;
/** `<job>/<index>`, the name of one task. */
export type TaskKey = Brand<string, 'TaskKey'>;
/** A revision of the state service; it rises with each transaction. */
export type Revision = Brand<number, 'Revision'>;
/** The revision of the transaction that wrote the leader key. */
export type Epoch = Brand<number, 'Epoch'>;
/** Rises with each placement batch of a job, so no two placements of a task share one. */
export type Attempt = Brand<number, 'Attempt'>;
/** Milliseconds on this process's steady clock. */
export type SteadyMs = Brand<number, 'SteadyMs'>;
/** Milliseconds since 1970 by the time of day, exact within the platform's bound. */
export type WallMs = Brand<number, 'WallMs'>;
/** A duration in milliseconds. */
export type DurationMs = Brand<number, 'DurationMs'>;

export const JobId = (id: string): JobId => id as JobId;
export const MachineId = (id: string): MachineId => id as MachineId;
export const ControllerId = (name: string): ControllerId => name as ControllerId;
export const Endpoint = (address: string): Endpoint => address as Endpoint;
export const Revision = (value: number): Revision => value as Revision;
export const Epoch = (value: number): Epoch => value as Epoch;
export const Attempt = (value: number): Attempt => value as Attempt;
export const SteadyMs = (value: number): SteadyMs => value as SteadyMs;
export const WallMs = (value: number): WallMs => value as WallMs;

/** A duration of so many milliseconds. */
export const ms = (value: number): DurationMs => value as DurationMs;
/** A duration of so many seconds. */
export const seconds = (value: number): DurationMs => (value * 1000) as DurationMs;

/** The time a duration after another. */
export const addDuration = (time: SteadyMs, duration: DurationMs): SteadyMs =>
  (time + duration) as SteadyMs;
/** The duration from one time to a later one; negative if it is an earlier one. */
export const durationBetween = (from: SteadyMs, to: SteadyMs): DurationMs =>
  (to - from) as DurationMs;

/** The name of one task. */
export const taskKey = (job: JobId, index: number): TaskKey => `${job}/${index}` as TaskKey;

/** One task of a job. */
export interface TaskRef {
  readonly job: JobId;
  readonly index: number;
}

/** Splits a task's name; undefined if it is not one (workers may report anything). */
export function parseTaskKey(key: string): TaskRef | undefined {
  const slash = key.lastIndexOf('/');
  if (slash <= 0) return undefined;
  const index = Number(key.slice(slash + 1));
  if (!Number.isSafeInteger(index) || index < 0) return undefined;
  return { job: JobId(key.slice(0, slash)), index };
}

/** Steady clocks of two machines drift apart by at most this share. */
export const MAX_CLOCK_DRIFT_RATIO = 0.0005;

/** A duration, lengthened: once it has passed on this clock, the original one has passed on every clock. */
export const upperBoundUnderDrift = (duration: DurationMs): DurationMs =>
  ms(duration * (1 + 2 * MAX_CLOCK_DRIFT_RATIO));
/** A duration, shortened: until it has passed on this clock, the original one has passed on no clock. */
export const lowerBoundUnderDrift = (duration: DurationMs): DurationMs =>
  ms(duration * (1 - 2 * MAX_CLOCK_DRIFT_RATIO));

/** A call that is due later. */
export interface Timer {
  /** Does nothing once the call has been made. */
  cancel(): void;
}

/** Time is passed in from outside, so that tests can control it. */
export interface Clock {
  steady(): SteadyMs;
  wall(): WallMs;
  after(delay: DurationMs, run: () => void): Timer;
}

/** Fulfilled after a delay. */
export const sleep = (clock: Clock, delay: DurationMs): Promise<void> =>
  new Promise((resolve) => {
    clock.after(delay, resolve);
  });

/** Randomness is passed in from outside too: a number in [0, 1). */
export type Random = () => number;
