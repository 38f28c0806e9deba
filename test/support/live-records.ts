/** Writes the records of live jobs to a simulated store directly, as if a controller had admitted them long ago. */
import { Job } from '../../src/ledger/job.js';
import { RecordLimits } from '../../src/ledger/record-limits.js';
import { liveKey } from '../../src/ledger/store-keys.js';
import { Epoch, JobId, Revision, WallMs } from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import type { Store, StoreLimits } from '../standin/store.js';

const SUBMITTED_AT = WallMs(Date.UTC(2026, 2, 12));
const UNLIMITED_RATE = 1e9;

/** Stores one live record for each spec. The store's limits must be `limits`, and apply again afterwards. */
export async function storeLiveJobs(
  store: Store,
  limits: StoreLimits,
  specs: readonly JobSpec[],
): Promise<void> {
  const recordLimits = new RecordLimits({ ...limits, next: undefined }, () => undefined);
  const writes = specs.map((spec) => {
    const job = new Job(JobId(spec.id), spec, SUBMITTED_AT, Revision(0));
    return { put: liveKey(job.id), data: recordLimits.encode(job, Epoch(0)).record };
  });
  store.setLimits({
    ...limits,
    requestRate: UNLIMITED_RATE,
    writeRate: UNLIMITED_RATE,
    transactionOps: writes.length,
  });
  const response = await store.handle('POST', '/multi', { writes }, 'test');
  store.setLimits(limits);
  if (response.status !== 200) throw new Error(`the store responded with ${response.status}`);
}
