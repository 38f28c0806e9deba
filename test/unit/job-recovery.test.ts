/**
 * Checks how a new leader reads the job records. Until it has read them all it handles no request about a job, so each
 * page that is read must bring it closer to the end, whatever happens to the others.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { JobRecovery } from '../../src/leader/job-recovery.js';
import type { PageResult } from '../../src/store/results.js';
import { Epoch, Revision } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

const PAGE_COUNT = 30;
const EPOCH = Epoch(7);

interface RecoveryRun {
  readonly requestedPages: number[];
  readonly errors: string[];
  readonly isComplete: boolean;
}

/** Runs recovery for a time on a store in which `isFailing` decides whether a request fails. */
async function recover(
  durationMs: number,
  isFailing: (request: number) => boolean,
  authority: (nowMs: number) => Epoch | undefined = () => EPOCH,
): Promise<RecoveryRun> {
  const time = new VirtualTime();
  const requestedPages: number[] = [];
  const errors: string[] = [];
  const listPage = (_prefix: string, after: string | undefined): Promise<PageResult> => {
    const page = after === undefined ? 0 : Number(after) + 1;
    requestedPages.push(page);
    if (isFailing(requestedPages.length)) {
      return Promise.resolve({ kind: 'failed', reason: 'status 429' });
    }
    const next = page + 1 < PAGE_COUNT ? String(page) : undefined;
    return Promise.resolve({ kind: 'page', items: [], revision: Revision(1), next });
  };
  const recovery = new JobRecovery(
    {
      store: { listPage },
      recordLimits: { onRecordRead: () => undefined },
      clock: new ProcessClock(time, 0, 0),
      log: pino({ level: 'error' }, { write: (line) => errors.push(line) }),
      authority: () => authority(time.now),
    },
    () => undefined,
  );
  let isComplete = false;
  void recovery.run().then((result) => (isComplete = result));
  await time.run(durationMs);
  recovery.close();
  return { requestedPages, errors, isComplete };
}

void test('recovery ends although every second page fails', async () => {
  const { requestedPages, errors, isComplete } = await recover(20_000, (n) => n % 2 === 1);
  assert.ok(isComplete);
  assert.deepEqual(
    requestedPages,
    Array.from({ length: 2 * PAGE_COUNT }, (_, i) => Math.floor(i / 2)),
    'each page is requested until it is read, and none again after that',
  );
  assert.deepEqual(errors, []);
});

void test('a leader that cannot read the records for a minute logs the violated invariant, unless it has no authority', async () => {
  const cases: [name: string, authority: (nowMs: number) => Epoch | undefined, errors: number][] = [
    ['with authority', () => EPOCH, 1],
    ['without authority', () => undefined, 0],
    ['with authority again for half a minute', (now) => (now > 60_000 ? EPOCH : undefined), 0],
  ];
  for (const [name, authority, expected] of cases) {
    const { errors, isComplete } = await recover(90_000, () => true, authority);
    assert.equal(isComplete, false, name);
    assert.equal(errors.length, expected, name);
  }
});
