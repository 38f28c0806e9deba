/**
 * Records the output of another version of the service: the encoded bytes of each message between controllers, and the
 * records of jobs in several states. The compatibility tests compare the current version with the recording.
 *
 *     node tools/record-production.mjs BUILD COMMIT > test/data/production.json
 *
 * BUILD is the directory into which that version was compiled (`npx tsc --outDir BUILD` in its checkout).
 */
import { pathToFileURL } from 'node:url';
import { resolve } from 'node:path';
import { requests, responses, jobs } from './samples.mjs';

const [build, commit] = process.argv.slice(2);
if (build === undefined || commit === undefined) {
  console.error('usage: record-production.mjs BUILD COMMIT');
  process.exit(2);
}
const importModule = (path) => import(pathToFileURL(resolve(build, path)).href);
const { encodeRequest, encodeResponse } = await importModule('peer/messages.js');
const { encodeJob, encodeFinal } = await importModule('ledger/codec.js');
const { Job } = await importModule('ledger/job.js');

const encodeAll = (encode, messages) =>
  messages.map((message, id) => ({
    id,
    message: toJson(message),
    bytes: encode(id, message).toString('hex'),
  }));
/** Converts a message to JSON values: the body becomes a hexadecimal string. */
const toJson = (message) =>
  message.body === undefined ? message : { ...message, body: message.body.toString('hex') };

const records = jobs(Job).map(({ name, job }) => ({
  name,
  live: encodeJob(job, 41),
  final: job.settled ? encodeFinal(job.final()) : null,
}));
const recording = {
  commit,
  requests: encodeAll(encodeRequest, requests),
  responses: encodeAll(encodeResponse, responses),
  records,
};
console.log(JSON.stringify(recording, undefined, 1));
