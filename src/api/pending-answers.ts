/** The answers that a controller is determining, so that none is given after a newer one has been told elsewhere. */
import { serviceUnavailable, type ApiResponse } from './api-response.js';
import type { JobPhase } from '../ledger/job-phase.js';
import { phaseOf } from './job-phase.js';

/** A revoked answer is determined anew once: a job seldom changes its phase twice in that time. */
const MAX_ATTEMPTS = 2;

/** An answer that is being determined. */
interface PendingAnswer {
  /** Answers of an earlier phase must not be given any more; undefined if any may be. */
  minPhase: JobPhase | undefined;
}

/** The answers that are being determined, by job. */
export class PendingAnswers {
  private readonly byJob = new Map<string, Set<PendingAnswer>>();

  /** Returns the response of `determine`. If it is revoked meanwhile, determines it anew, or tells the user to retry. */
  async determine(job: string, determine: () => Promise<ApiResponse>): Promise<ApiResponse> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const pending = this.begin(job);
      try {
        const response = await determine();
        if (!isRevoked(response, pending)) return response;
      } finally {
        this.end(job, pending);
      }
    }
    return serviceUnavailable('outdated');
  }

  /** Revokes all pending answers about a job of a phase before `phase`, the one that is about to be told. */
  revokeBefore(phase: JobPhase, job: string): void {
    for (const pending of this.byJob.get(job) ?? []) {
      if (pending.minPhase === undefined || pending.minPhase < phase) pending.minPhase = phase;
    }
  }

  private begin(job: string): PendingAnswer {
    const pending: PendingAnswer = { minPhase: undefined };
    const others = this.byJob.get(job);
    if (others) others.add(pending);
    else this.byJob.set(job, new Set([pending]));
    return pending;
  }

  private end(job: string, pending: PendingAnswer): void {
    const answers = this.byJob.get(job);
    answers?.delete(pending);
    if (answers?.size === 0) this.byJob.delete(job);
  }
}

function isRevoked(response: ApiResponse, { minPhase }: PendingAnswer): boolean {
  if (minPhase === undefined) return false;
  const phase = phaseOf(response);
  return phase !== undefined && phase < minPhase;
}
