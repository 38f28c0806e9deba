/** What teams may still start: what counts against a quota, and what is not known. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { remainingQuotas } from '../../src/leader/remaining-quotas.js';
import { Job, type FinalState } from '../../src/ledger/job.js';
import type { Ledger } from '../../src/ledger/ledger.js';
import {
  JobId,
  MachineId,
  Revision,
  SteadyMs,
  WallMs,
  seconds,
  taskKey,
  type TaskKey,
} from '../../src/units/index.js';
import { emptyFleet } from '../support/fleet.js';
import { jobSpec } from '../support/job-spec.js';

const team = (name: string, maxCpus: number, maxGpus: number) => ({
  name,
  guaranteedCpus: 0,
  guaranteedGpus: 0,
  maxCpus,
  maxGpus,
});
const TEAMS = [team('vision', 24, 0), team('speech', 0, 4), team('tools', 0, 0)];

const jobId = JobId('run-000001');
const finishedId = JobId('run-000002');
const finished: FinalState = {
  status: 'done',
  taskCount: 1,
  doneCount: 1,
  team: 'vision',
  reason: 'all tasks done',
};

void test('tasks on machines, placed or orphaned, count against the quota of their team', () => {
  const cases: [
    name: string,
    orphans: TaskKey[],
    finals: FinalState[],
    vision: number,
    speech: number,
  ][] = [
    ['two placed tasks of two processors', [], [], 20, 4],
    ['an orphaned attempt beside them', [taskKey(jobId, 3)], [], 18, 4],
    ['an orphan of a job that is over: its team', [taskKey(finishedId, 0)], [finished], 0, 4],
    ['an orphan of an unknown job: every team', [taskKey(finishedId, 0)], [], 0, 0],
  ];
  for (const [name, orphans, finals, vision, speech] of cases) {
    const job = new Job(jobId, jobSpec({ taskCount: 4, cpus: 2 }), WallMs(0), Revision(1));
    const machine = MachineId('m1');
    job.placeTasks(
      [
        { index: 0, machine },
        { index: 1, machine },
      ],
      SteadyMs(0),
    );
    const ledger: Pick<Ledger, 'jobs' | 'finalState'> = {
      jobs: new Map([[jobId, job]]),
      finalState: (id) => (id === finishedId ? finals[0] : undefined),
    };
    const fleet = emptyFleet(seconds(24));
    for (const key of orphans) fleet.recordOrphan(key, machine);
    const quotas = remainingQuotas(TEAMS, ledger, fleet);
    assert.deepEqual(
      [...quotas],
      [
        ['vision', { cpus: vision, gpus: vision === 0 ? 0 : Infinity }],
        ['speech', { cpus: speech === 0 ? 0 : Infinity, gpus: speech }],
      ],
      name,
    );
  }
});
