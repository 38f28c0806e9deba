import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { Service } from '../../src/api/service.js';
import { Catalog } from '../../src/cloud/catalog.js';
import type { StoreFront } from '../../src/ledger/front.js';
import { Job } from '../../src/ledger/job.js';
import type { Election } from '../../src/leader/election.js';
import type { Answer, Term } from '../../src/leader/term.js';
import { parseSettings } from '../../src/config/settings.js';
import { Epoch, JobId, NodeId, Revision, WallMs } from '../../src/units/index.js';
import { encode } from '../../src/wire/index.js';
import { spec } from '../support/jobs.js';
import { settingsFile } from '../support/settings.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { flavors } from '../standin/world.js';

const id = JobId('run-000001');

/** A service that leads until `lose` is called, and whose term answers when `answer` is. */
function leading(found: Answer) {
  const settings = parseSettings(settingsFile(0));
  const clock = new ProcessClock(new VirtualTime(), 0, 0);
  let epoch: Epoch | undefined = Epoch(7);
  let answer = (): void => undefined;
  const later = (): Promise<Answer> => new Promise((r) => (answer = () => r(found)));
  const term = { epoch, isClosed: false, isReady: true, find: later, abort: later, submit: later };
  const election = { authority: () => epoch, leader: () => NodeId('node-0') };
  const catalog = new Catalog();
  catalog.update(flavors);
  const service = new Service(
    settings,
    election as unknown as Election,
    {} as StoreFront,
    catalog,
    new Map(),
    clock,
    pino({ level: 'silent' }),
    { hints: () => undefined, ping: () => Buffer.alloc(0), alone: () => false },
  );
  service.term = term as unknown as Term;
  return { service, lose: () => (epoch = undefined), answer: () => answer() };
}

void test('an answer that rests on authority is given under it to the end', async () => {
  const running = new Job(id, spec({}), WallMs(0), Revision(5));
  const body = encode(spec({}));
  type Case = [name: string, method: string, path: string, found: Answer, kept: number];
  const cases: Case[] = [
    ['a question', 'GET', `/v1/jobs/${id}`, { kind: 'job', job: running }, 200],
    ['a question about no job', 'GET', `/v1/jobs/${id}`, { kind: 'absent' }, 404],
    ['a repeated submission', 'POST', '/v1/jobs', { kind: 'job', job: running }, 200],
    ['a cancellation', 'POST', `/v1/jobs/${id}/abort`, { kind: 'job', job: running }, 200],
  ];
  for (const [name, method, path, found, kept] of cases) {
    for (const lost of [false, true]) {
      const { service, lose, answer } = leading(found);
      const reply = service.user(method, path, body);
      await Promise.resolve();
      // It stood still here, and another has come to lead.
      if (lost) lose();
      answer();
      const { status } = await reply;
      assert.equal(status, lost ? 503 : kept, name);
    }
  }
});
