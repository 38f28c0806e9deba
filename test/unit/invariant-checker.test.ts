/**
 * Checks that the checker of the simulated and the soak tests can fail: each violation of a rule, brought about on
 * purpose, is reported. Otherwise those tests could pass whatever the service does.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../../src/config/settings.js';
import type { HttpOutcome, HttpRequest } from '../../src/net/http.js';
import { Endpoint } from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import { VirtualTime } from '../standin/clock.js';
import { InvariantChecker, type CheckedCluster } from '../standin/invariant-checker.js';
import type { LoadBalancer } from '../standin/load-balancer.js';
import { TaskRegistry } from '../standin/task-registry.js';
import { Users, type UserJob } from '../standin/users.js';
import { settingsFile } from '../support/settings-file.js';

const MACHINE = { machineType: 'small', zone: 'a', spot: false };
const JOB = 'run-000001';

/** A response to users' requests, by method and path. */
type Responder = (request: HttpRequest) => { status: number; body?: unknown } | undefined;

const jobStatus = (status: string): { status: number; body: object } => ({
  status: 200,
  body: { name_id: JOB, status },
});

const answerAll: Responder = ({ method, path }) =>
  method === 'POST' && path === '/v1/jobs' ? { status: 201 } : jobStatus('pending');

/** One cluster with two machines, and the responses that its users get. */
class CheckedScene {
  readonly time = new VirtualTime();
  respond: Responder = answerAll;
  private readonly jobs = new Map<string, UserJob>();
  readonly tasks: TaskRegistry = new TaskRegistry(this.jobs, {
    onTaskStarted: (machine, task, others) => this.checker.checkStart(machine, task, others),
    onJobCompleted: () => undefined,
  });
  readonly users: Users = new Users({
    time: this.time,
    random: () => 0.1,
    createClient: () => ({
      send: (request) => Promise.resolve(this.outcomeOf(request)),
    }),
    endpointOf: () => Endpoint('10.0.0.1:8080'),
    loadBalancer: {
      chooseBackend: () => 0,
      hasResetConnections: () => false,
    } as unknown as LoadBalancer,
    jobs: this.jobs,
    processOf: () => this,
    onTaskCompleted: (task) => this.tasks.onTaskCompleted(task),
    onViolation: (rule, detail) => this.checker.reportViolation(rule, detail),
  });
  private readonly worker = {
    reclaimAt: undefined,
    freeCpus: () => 8,
    taskNames: () => [] as string[],
  };
  readonly checker: InvariantChecker = new InvariantChecker({
    time: this.time,
    settings: parseSettings(settingsFile(0)),
    jobs: this.jobs,
    tasks: this.tasks,
    users: this.users,
    cloud: {
      machines: new Map([
        ['vm-1', MACHINE],
        ['vm-2', { ...MACHINE, zone: 'b' }],
      ]),
    },
    workers: new Map([['vm-1', { worker: this.worker, machine: MACHINE }]]),
  } as unknown as CheckedCluster);

  private outcomeOf(request: HttpRequest): HttpOutcome {
    const response = this.respond(request);
    return response
      ? { kind: 'response', status: response.status, body: response.body ?? { status: 'pending' } }
      : { kind: 'unknown', reason: 'no response' };
  }

  /** Submits a job that is accepted. */
  async submit(spec: Partial<JobSpec> = {}): Promise<void> {
    this.users.submit({ taskCount: 2, cpus: 2, ...spec }, 60_000);
    await this.run(100);
  }

  /** Lets the time pass. */
  run(durationMs: number): Promise<void> {
    return this.time.run(this.time.now + durationMs);
  }
}

interface ViolationCase {
  readonly name: string;
  readonly rule: string;
  readonly violate: (scene: CheckedScene) => Promise<void> | void;
}

const cases: readonly ViolationCase[] = [
  {
    name: 'a task starts on one machine while it is on another',
    rule: 'ran_twice',
    violate: (scene) => {
      scene.tasks.onTaskStarted('vm-1', `${JOB}/0`);
      scene.tasks.onTaskStarted('vm-2', `${JOB}/0`);
    },
  },
  {
    name: "a team's tasks use more than its limit",
    rule: 'quota',
    violate: async (scene) => {
      await scene.submit({ cpus: 20 });
      scene.tasks.onTaskStarted('vm-1', `${JOB}/0`);
      scene.tasks.onTaskStarted('vm-2', `${JOB}/1`);
    },
  },
  {
    name: 'a task starts in a zone that its job does not allow',
    rule: 'wrong_place',
    violate: async (scene) => {
      await scene.submit({ zone: 'b' });
      scene.tasks.onTaskStarted('vm-1', `${JOB}/0`);
    },
  },
  {
    name: 'a task of a cancelled job goes on',
    rule: 'ran_cancelled',
    violate: async (scene) => {
      await scene.submit();
      scene.tasks.onTaskStarted('vm-1', `${JOB}/0`);
      scene.respond = () => jobStatus('aborted');
      scene.users.cancel(JOB);
      await scene.run(60_000);
    },
  },
  {
    name: 'a task of a cancelled job starts',
    rule: 'ran_cancelled',
    violate: async (scene) => {
      await scene.submit();
      scene.respond = () => jobStatus('aborted');
      scene.users.cancel(JOB);
      await scene.run(60_000);
      scene.tasks.onTaskStarted('vm-1', `${JOB}/0`);
    },
  },
  {
    name: 'an accepted job is unknown',
    rule: 'forgotten',
    violate: async (scene) => {
      await scene.submit();
      scene.respond = () => ({ status: 404 });
      await scene.run(6000);
    },
  },
  {
    name: 'polls of one job get no response while most others do',
    rule: 'forgotten',
    violate: async (scene) => {
      await scene.submit();
      await scene.submit();
      await scene.submit();
      scene.respond = (request) => (request.path.endsWith(JOB) ? undefined : answerAll(request));
      await scene.run(100_000);
    },
  },
  {
    name: 'no poll gets a response once all faults have ended',
    rule: 'forgotten',
    violate: async (scene) => {
      await scene.submit();
      scene.checker.markFaultsEnded();
      scene.respond = () => ({ status: 503 });
      await scene.run(80_000);
    },
  },
  {
    name: 'a job waits although a machine has room for it',
    rule: 'left_waiting',
    violate: async (scene) => {
      await scene.submit();
      scene.checker.markFaultsEnded();
      await scene.run(100_000);
    },
  },
  {
    name: 'a job that nobody submitted is known',
    rule: 'invented',
    violate: async (scene) => {
      scene.users.pollUnknownJob();
      await scene.run(100);
    },
  },
  {
    name: 'a job is called done before all of its tasks are',
    rule: 'not_done',
    violate: async (scene) => {
      await scene.submit();
      scene.respond = () => jobStatus('done');
      await scene.run(6000);
    },
  },
  {
    name: 'a job that was called cancelled is called running',
    rule: 'went_back',
    violate: async (scene) => {
      await scene.submit();
      scene.respond = () => jobStatus('aborted');
      scene.users.cancel(JOB);
      await scene.run(100);
      scene.respond = () => jobStatus('running');
      await scene.run(10_000);
    },
  },
  {
    name: 'a job is called cancelled although its user did not cancel it',
    rule: 'went_back',
    violate: async (scene) => {
      await scene.submit();
      scene.respond = () => jobStatus('aborted');
      await scene.run(6000);
    },
  },
  {
    name: 'a job that can never run is accepted',
    rule: 'accepted',
    violate: async (scene) => {
      scene.users.sendUnexpectedRequests();
      await scene.run(100);
    },
  },
];

for (const { name, rule, violate } of cases) {
  void test(`the checker reports that ${name}`, async () => {
    const scene = new CheckedScene();
    scene.checker.start();
    await violate(scene);
    const rules = scene.checker.violations.map((violation) => violation.split(' ')[0]);
    assert.ok(rules.includes(rule), scene.checker.violations.join('\n') || 'nothing reported');
  });
}

void test('the checker reports nothing while a job is answered and runs', async () => {
  const scene = new CheckedScene();
  scene.checker.start();
  await scene.submit();
  scene.tasks.onTaskStarted('vm-1', `${JOB}/0`);
  await scene.run(80_000);
  assert.deepEqual(scene.checker.violations, []);
});
