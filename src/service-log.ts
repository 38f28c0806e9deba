/**
 * Logs what this controller did for its clients and why it refused requests, at intervals. With the lines of all
 * controllers an operator can tell which of them led under which epoch, what it read from the store, and where
 * requests were refused.
 */
import type { Logger } from 'pino';
import type { RequestMetrics } from './api/request-metrics.js';
import type { UnansweredJobs } from './api/unanswered-jobs.js';
import type { Reachability } from './peer/reachability.js';
import type { StoreMetrics } from './store/store-metrics.js';
import {
  addDuration,
  durationBetween,
  ms,
  seconds,
  type Clock,
  type ControllerId,
  type Epoch,
  type SteadyMs,
  type Timer,
} from './units/index.js';

const LOG_INTERVAL = seconds(10);
/** How often the delay of the event loop is sampled. */
const SAMPLE_INTERVAL = ms(250);

/** The role of this controller at one moment. */
export interface LeadershipReport {
  readonly leader: ControllerId | undefined;
  readonly leaderEpoch: number;
  /** The epoch under which this controller may act; undefined if it has no authority. */
  readonly authority: Epoch | undefined;
  readonly isReady: boolean;
  readonly reachability: Reachability;
}

/** What only the process knows of itself. */
export interface ProcessReport {
  /** Turns of the event loop, and how busy it was. */
  readonly eventLoop: object;
  /** Open connections by kind of client, and those that were dropped. */
  readonly connections: object;
}

/** The dependencies of the service log. */
export interface ServiceLogDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly requestMetrics: RequestMetrics;
  readonly storeMetrics: StoreMetrics;
  readonly leadership: () => LeadershipReport;
  /** The jobs whose polls this controller refuses. */
  readonly unansweredJobs: Pick<UnansweredJobs, 'report'>;
  /** What the process reports of itself; absent without a process of its own. */
  readonly processReport: (() => ProcessReport) | undefined;
}

/** Logs one line per interval from `start` to `stop`. */
export class ServiceLog {
  private maxDelayMs = 0;
  private loggedAt: SteadyMs;
  private timer: Timer | undefined;

  constructor(private readonly deps: ServiceLogDependencies) {
    this.loggedAt = deps.clock.steady();
  }

  /** Starts to sample the event loop and to log. */
  start(): void {
    const { clock } = this.deps;
    const expectedAt = addDuration(clock.steady(), SAMPLE_INTERVAL);
    this.timer = clock.after(SAMPLE_INTERVAL, () => {
      const now = clock.steady();
      this.maxDelayMs = Math.max(this.maxDelayMs, durationBetween(expectedAt, now));
      if (durationBetween(this.loggedAt, now) >= LOG_INTERVAL) this.logReport(now);
      this.start();
    });
  }

  /** Ends sampling and logging. */
  stop(): void {
    this.timer?.cancel();
  }

  private logReport(now: SteadyMs): void {
    const { leadership, log, processReport, requestMetrics, storeMetrics, unansweredJobs } =
      this.deps;
    const { leader, leaderEpoch, authority, isReady, reachability } = leadership();
    log.info(
      {
        leader,
        leaderEpoch,
        authority,
        isReady,
        reachability,
        eventLoopDelayMs: Math.round(this.maxDelayMs),
        requests: requestMetrics.takeReport(),
        store: storeMetrics.takeReport(),
        unanswered: unansweredJobs.report(),
        ...processReport?.(),
      },
      'service summary',
    );
    this.maxDelayMs = 0;
    this.loggedAt = now;
  }
}
