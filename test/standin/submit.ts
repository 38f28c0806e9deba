/** The user of the quick start: submits a job with a given number of tasks and polls it until it finishes. */
import { PooledHttpClient } from '../../src/net/pooled-http-client.js';
import { Endpoint, ms, sleep } from '../../src/units/index.js';
import { systemClock } from '../../src/units/system-clock.js';
import { encodeJobSpec } from '../../src/wire/index.js';
import { jobSpec } from '../support/job-spec.js';

const REQUEST_TIMEOUT = ms(5000);
const RETRY_INTERVAL = ms(1000);

const taskCount = Number(process.argv[2] ?? 3);
const endpoint = Endpoint('127.0.0.1:18080');
const client = new PooledHttpClient(1, 1, 1);
const id = `run-${String(Date.now() % 1_000_000).padStart(6, '0')}`;
const body = encodeJobSpec(jobSpec({ id, taskCount, allowSpot: false }));

for (;;) {
  const outcome = await client.send({
    endpoint,
    method: 'POST',
    path: '/v1/jobs',
    body,
    timeout: REQUEST_TIMEOUT,
  });
  console.log(`submitted: ${outcome.kind === 'response' ? outcome.status : outcome.reason}`);
  if (outcome.kind === 'response' && outcome.status < 300) break;
  if (outcome.kind === 'response' && outcome.status < 500) process.exit(1);
  await sleep(systemClock, RETRY_INTERVAL);
}
for (;;) {
  const path = `/v1/jobs/${id}`;
  const outcome = await client.send({ endpoint, method: 'GET', path, timeout: REQUEST_TIMEOUT });
  if (outcome.kind === 'response' && outcome.status === 200) {
    console.log(JSON.stringify(outcome.body));
    if ((outcome.body as { status: string }).status === 'done') process.exit(0);
  }
  await sleep(systemClock, RETRY_INTERVAL);
}
