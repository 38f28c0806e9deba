import { NodeHttpClient } from '../../src/net/client.js';
import { Endpoint, ms, sleep } from '../../src/units/index.js';
import { systemClock } from '../../src/units/system.js';
import { encodeJobSpec } from '../../src/wire/index.js';
import { spec } from '../support/jobs.js';

/** The quick start's user: submits a job of so many tasks and follows it to its end. */
const entries = Number(process.argv[2] ?? 3);
const client = new NodeHttpClient(1, 1, 1);
const id = `run-${String(Date.now() % 1_000_000).padStart(6, '0')}`;
const ask = (method: 'GET' | 'POST', path: string, body?: unknown) =>
  client.send({ endpoint: Endpoint('127.0.0.1:18080'), method, path, body, timeout: ms(5000) });

const submission = encodeJobSpec(spec({ id, taskCount: entries, allowSpot: false }));
for (;;) {
  const o = await ask('POST', '/v1/jobs', submission);
  console.log(o.kind === 'answer' ? `submitted: ${o.status}` : `submitted: ${o.reason}`);
  if (o.kind === 'answer' && o.status < 300) break;
  if (o.kind === 'answer' && o.status < 500) process.exit(1);
  await sleep(systemClock, ms(1000));
}
for (;;) {
  const o = await ask('GET', `/v1/jobs/${id}`);
  if (o.kind === 'answer' && o.status === 200) {
    console.log(JSON.stringify(o.body));
    if ((o.body as { status: string }).status === 'done') process.exit(0);
  }
  await sleep(systemClock, ms(1000));
}
