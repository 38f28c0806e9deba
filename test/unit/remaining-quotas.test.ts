/**
 * Checks how much each team may still start: which tasks count against a quota, and what happens when the size of a
 * task is unknown. A task that is not counted lets its team exceed the quota.
 */
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

const createTeam = (name: string, maxCpus: number, maxGpus: number) => ({
  name,
  guaranteedCpus: 0,
  guaranteedGpus: 0,
  maxCpus,
  maxGpus,
});
const TEAMS = [createTeam('vision', 24, 0), createTeam('speech', 0, 4), createTeam('tools', 0, 0)];

const jobId = JobId('run-000001');
const finishedId = JobId('run-000002');
const finished: FinalState = {
  status: 'done',
  taskCount: 1,
  doneCount: 1,
  team: 'vision',
  reason: 'all tasks done',
};

void test('placed and orphaned tasks on machines count against the quota of their team', () => {
  const cases: [
    name: string,
    orphans: TaskKey[],
    finalStates: FinalState[],
    visionCpus: number,
    speechGpus: number,
  ][] = [
    ['two placed tasks of two CPUs', [], [], 20, 4],
    ['an orphaned task besides', [taskKey(jobId, 3)], [], 18, 4],
    [
      'an orphan of a finished job: its team may start nothing',
      [taskKey(finishedId, 0)],
      [finished],
      0,
      4,
    ],
    ['an orphan of an unknown job: no team may start anything', [taskKey(finishedId, 0)], [], 0, 0],
  ];
  for (const [name, orphans, finalStates, visionCpus, speechGpus] of cases) {
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
      finalState: (id) => (id === finishedId ? finalStates[0] : undefined),
    };
    const fleet = emptyFleet(seconds(24));
    for (const key of orphans) fleet.recordOrphan(key, machine);
    const quotas = remainingQuotas(TEAMS, ledger, fleet);
    assert.deepEqual(
      [...quotas],
      [
        ['vision', { cpus: visionCpus, gpus: visionCpus === 0 ? 0 : Infinity }],
        ['speech', { cpus: speechGpus === 0 ? 0 : Infinity, gpus: speechGpus }],
      ],
      name,
    );
  }
});
