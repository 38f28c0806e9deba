/**
 * Branded primitive types: ids, revisions, epochs, monotonic and wall-clock times, durations. A brand costs nothing at
 * run time, and stops the compiler from accepting a wall-clock time where a monotonic one is expected.
 */

declare const brand: unique symbol;
type Brand<T, B extends string> = T & { readonly [brand]: B };

/** The id of a job, chosen by its user. */
export type JobId = Brand<string, 'JobId'>;
/** The id of a machine, chosen by the cloud. */
export type MachineId = Brand<string, 'MachineId'>;
/** The id of a controller, as the settings name it. */
export type ControllerId = Brand<string, 'ControllerId'>;
/** An IPv4 address with a port, such as `10.0.0.1:8080`. */
export type Endpoint = Brand<string, 'Endpoint'>;
/** The key of a task: `<job>/<index>`. */
export type TaskKey = Brand<string, 'TaskKey'>;
/** A revision of the state store, which rises with each transaction. */
export type Revision = Brand<number, 'Revision'>;
/** The number of a term: the revision of the transaction that wrote the leader key. */
export type Epoch = Brand<number, 'Epoch'>;
/** The number of an attempt. It rises with each placement batch of a job, so no two placements of a task share one. */
export type Attempt = Brand<number, 'Attempt'>;
/** Milliseconds on this process's monotonic clock. */
export type SteadyMs = Brand<number, 'SteadyMs'>;
/** Milliseconds since 1970 on the wall clock, whose error the platform limits. */
export type WallMs = Brand<number, 'WallMs'>;
/** A duration in milliseconds. */
export type DurationMs = Brand<number, 'DurationMs'>;

export const JobId = (id: string): JobId => id as JobId;
export const MachineId = (id: string): MachineId => id as MachineId;
export const ControllerId = (id: string): ControllerId => id as ControllerId;
export const Endpoint = (address: string): Endpoint => address as Endpoint;
export const Revision = (value: number): Revision => value as Revision;
export const Epoch = (value: number): Epoch => value as Epoch;
export const Attempt = (value: number): Attempt => value as Attempt;
export const SteadyMs = (value: number): SteadyMs => value as SteadyMs;
export const WallMs = (value: number): WallMs => value as WallMs;

/** A duration in milliseconds. */
export const ms = (value: number): DurationMs => value as DurationMs;
/** A duration in seconds. */
export const seconds = (value: number): DurationMs => (value * 1000) as DurationMs;

/** The time that is `duration` after `time`. */
export const addDuration = (time: SteadyMs, duration: DurationMs): SteadyMs =>
  (time + duration) as SteadyMs;
/** The duration from one time to another; negative if `to` is the earlier one. */
export const durationBetween = (from: SteadyMs, to: SteadyMs): DurationMs =>
  (to - from) as DurationMs;
/** The latest of some times. */
export const latest = (...times: SteadyMs[]): SteadyMs => SteadyMs(Math.max(...times));

/** The key of a task. */
export const taskKey = (job: JobId, index: number): TaskKey => `${job}/${index}` as TaskKey;

/** One task of a job. */
export interface TaskRef {
  readonly job: JobId;
  readonly index: number;
}

/** Parses the key of a task; undefined if the text is not one, since workers may send any text. */
export function parseTaskKey(key: string): TaskRef | undefined {
  const slash = key.lastIndexOf('/');
  if (slash <= 0) return undefined;
  const index = Number(key.slice(slash + 1));
  if (!Number.isSafeInteger(index) || index < 0) return undefined;
  return { job: JobId(key.slice(0, slash)), index };
}

/** The most by which the monotonic clocks of two machines drift apart, relative to the elapsed time. */
export const MAX_CLOCK_DRIFT_RATIO = 0.0005;

/** Lengthens a duration: once the result has passed on this clock, the original duration has passed on every clock. */
export const upperBoundUnderDrift = (duration: DurationMs): DurationMs =>
  ms(duration * (1 + 2 * MAX_CLOCK_DRIFT_RATIO));
/** Shortens a duration: as long as the result has not passed on this clock, the original has not passed on any clock. */
export const lowerBoundUnderDrift = (duration: DurationMs): DurationMs =>
  ms(duration * (1 - 2 * MAX_CLOCK_DRIFT_RATIO));

/** A scheduled callback. */
export interface Timer {
  /** Does nothing once the callback has run. */
  cancel(): void;
}

/** Monotonic time, wall-clock time and timers. It is injected so that tests can control time. */
export interface Clock {
  steady(): SteadyMs;
  wall(): WallMs;
  after(delay: DurationMs, callback: () => void): Timer;
  /** Calls back in the next turn of the event loop, after the I/O that is ready by then. */
  nextTurn(callback: () => void): void;
}

/** Returns a promise that is fulfilled after a delay. */
export const sleep = (clock: Clock, delay: DurationMs): Promise<void> =>
  new Promise((resolve) => {
    clock.after(delay, resolve);
  });

/** Returns a random number in [0, 1). It is injected so that tests can control randomness. */
export type Random = () => number;
