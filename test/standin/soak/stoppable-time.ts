/** Real time whose timers can be stopped all at once, so that nothing of a soak run goes on after its end. */
import type { Timer } from '../../../src/units/index.js';
import type { TimeSource } from '../clock.js';
import { realTime } from '../loopback-services.js';

/** The time of one soak run. */
export class StoppableTime implements TimeSource {
  private readonly timers = new Set<Timer>();
  private isStopped = false;

  get now(): number {
    return realTime.now;
  }

  after(delay: number, run: () => void): Timer {
    if (this.isStopped) return { cancel: () => undefined };
    const timer = realTime.after(delay, () => {
      this.timers.delete(timer);
      run();
    });
    this.timers.add(timer);
    return {
      cancel: () => {
        this.timers.delete(timer);
        timer.cancel();
      },
    };
  }

  /** Cancels all timers. None runs any more, whoever sets it. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers) timer.cancel();
    this.timers.clear();
  }
}
