/**
 * Writes down what another version of the service says: each message between controllers as its bytes, and
 * records of jobs in several states. The tests compare this version with them.
 *
 *     node tools/record-production.mjs BUILD COMMIT > test/data/production.json
 *
 * BUILD is the folder into which that version was compiled (`npx tsc --outDir BUILD` in its checkout).
 */
import { pathToFileURL } from 'node:url';
import { resolve } from 'node:path';
import { requests, responses, jobs } from './samples.mjs';

const [build, commit] = process.argv.slice(2);
if (build === undefined || commit === undefined) {
  console.error('usage: record-production.mjs BUILD COMMIT');
  process.exit(2);
}
const load = (path) => import(pathToFileURL(resolve(build, path)).href);
const { encodeRequest, encodeResponse } = await load('peer/messages.js');
const { encodeJob, encodeFinal } = await load('ledger/job-codec.js');
const { Job } = await load('ledger/job.js');

const bytes = (encode, messages) =>
  messages.map((message, id) => ({
    id,
    message: plain(message),
    bytes: encode(id, message).toString('hex'),
  }));
/** As JSON has it: bodies as hexadecimal text. */
const plain = (message) =>
  message.body === undefined ? message : { ...message, body: message.body.toString('hex') };

const records = jobs(Job).map(({ name, job }) => ({
  name,
  live: encodeJob(job, 41),
  final: job.settled ? encodeFinal(job.final()) : null,
}));
const recorded = {
  commit,
  requests: bytes(encodeRequest, requests),
  responses: bytes(encodeResponse, responses),
  records,
};
console.log(JSON.stringify(recorded, undefined, 1));
