/**
 * Counts the turns of the event loop. Node accepts at most one connection for each turn, so that a process whose accepted
 * connections are as many as its turns has others waiting in its listen queue.
 */
import { PerformanceObserver, performance } from 'node:perf_hooks';
import { getHeapStatistics } from 'node:v8';

const BYTES_PER_MB = 1024 * 1024;

/** The use of the event loop since the previous report. */
export interface EventLoopReport {
  /** Turns of the event loop. */
  readonly turns: number;
  /** The share of the time in which the event loop did not wait for events, from 0 to 1. */
  readonly utilization: number;
  /** The time that garbage collection took. */
  readonly garbageCollectionMs: number;
  /** The memory that objects use, and how much they may use. */
  readonly heapMb: number;
  readonly heapLimitMb: number;
}

/** Reports the use of this process's event loop. */
export class EventLoopUsage {
  private turnCount = performance.nodeTiming.uvMetricsInfo.loopCount;
  private utilization = performance.eventLoopUtilization();
  private garbageCollectionMs = 0;

  constructor() {
    const observer = new PerformanceObserver((list) => {
      for (const { duration } of list.getEntries()) this.garbageCollectionMs += duration;
    });
    observer.observe({ entryTypes: ['gc'] });
  }

  /** The use since the previous report. */
  takeReport(): EventLoopReport {
    const { loopCount } = performance.nodeTiming.uvMetricsInfo;
    const turns = loopCount - this.turnCount;
    this.turnCount = loopCount;
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, this.utilization);
    this.utilization = current;
    const garbageCollectionMs = Math.round(this.garbageCollectionMs);
    this.garbageCollectionMs = 0;
    const heap = getHeapStatistics();
    return {
      turns,
      utilization: Math.round(utilization * 100) / 100,
      garbageCollectionMs,
      heapMb: Math.round(heap.used_heap_size / BYTES_PER_MB),
      heapLimitMb: Math.round(heap.heap_size_limit / BYTES_PER_MB),
    };
  }
}
