/** What the version in production sends and stores, as `tools/record-production.mjs` recorded it from that version. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import {
  decodeJob,
  encodeFinal,
  encodeJob,
  encodeJobCompactly,
  markOf,
} from '../../src/ledger/codec.js';
import { RecordLimits } from '../../src/ledger/record-limits.js';
import {
  decodeRequest,
  decodeResponse,
  encodeRequest,
  encodeResponse,
  type PeerRequest,
  type PeerResponse,
} from '../../src/peer/messages.js';
import { Epoch, JobId, Revision, SteadyMs } from '../../src/units/index.js';
import { decodeCommand, decodeHeartbeat } from '../../src/wire/index.js';

interface RecordedMessage {
  readonly id: number;
  readonly message: {
    readonly type: string;
    readonly body?: string;
    readonly reports?: readonly { readonly report?: unknown }[];
    readonly orders?: readonly unknown[];
    readonly responses?: readonly { readonly orders: readonly unknown[] }[];
    readonly report?: unknown;
  };
  readonly bytes: string;
}

interface Recorded {
  readonly requests: readonly RecordedMessage[];
  readonly responses: readonly RecordedMessage[];
  readonly records: readonly {
    readonly name: string;
    readonly live: { readonly e: number; readonly v: number };
    readonly final: unknown;
  }[];
}

const production = JSON.parse(
  readFileSync('test/data/production.json', 'utf8'),
) as unknown as Recorded;

/**
 * A recorded message by the names that it has in this version. The version in production holds heartbeats and
 * commands of workers in the form of the protocol.
 */
function messageOf({ message }: RecordedMessage): unknown {
  const { body, reports, orders, responses, report, ...rest } = message;
  return {
    ...rest,
    ...(body === undefined ? {} : { body: Buffer.from(body, 'hex') }),
    ...(orders === undefined ? {} : { orders: orders.map(decodeCommand) }),
    ...(report === undefined ? {} : { report: report && decodeHeartbeat(report) }),
    ...(reports === undefined ? {} : { reports: reports.map(relayedOf) }),
    ...(responses === undefined
      ? {}
      : { responses: responses.map((r) => ({ ...r, orders: r.orders.map(decodeCommand) })) }),
  };
}

const relayedOf = (relayed: { readonly report?: unknown }): unknown =>
  relayed.report === undefined ? relayed : { ...relayed, report: decodeHeartbeat(relayed.report) };

const asJson = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/** Encodes what was recorded, and reads the recorded bytes: both must be what production has. */
function assertSame<Message extends PeerRequest | PeerResponse>(
  recorded: RecordedMessage,
  encode: (id: number, message: Message) => Buffer,
  decode: (bytes: Buffer) => { readonly message: Message },
): void {
  const message = messageOf(recorded) as Message;
  assert.equal(encode(recorded.id, message).toString('hex'), recorded.bytes, message.type);
  const back = decode(Buffer.from(recorded.bytes, 'hex'));
  assert.deepEqual(asJson(back.message), asJson(message));
}

void test('messages between nodes are, byte for byte, those of the version in production', () => {
  assert.equal(production.requests.length, 9);
  for (const recorded of production.requests) assertSame(recorded, encodeRequest, decodeRequest);
  assert.equal(production.responses.length, 6);
  for (const recorded of production.responses) assertSame(recorded, encodeResponse, decodeResponse);
});

void test('records of the version in production are read, and written as it writes them', () => {
  const falling = {
    rps: 80,
    writeRps: 15,
    valueBytes: 8192,
    txnOps: 8,
    next: { rps: 80, writeRps: 15, valueBytes: 2048, txnOps: 4 },
  };
  const limits = new RecordLimits(falling);
  const lowered = new RecordLimits(falling);
  lowered.noteRefusal();
  assert.equal(production.records.length, 7);
  for (const { name, live, final } of production.records) {
    const id = JobId('run-000412');
    const job = decodeJob(id, live, Revision(9), SteadyMs(0));
    job.version = live.v;
    assert.deepEqual(asJson(encodeJob(job, Epoch(live.e))), live, name);
    assert.deepEqual(asJson(limits.encode(job, Epoch(live.e)).record), live, `${name}: no change`);
    if (final !== null) assert.deepEqual(asJson(encodeFinal(job.final())), final, name);
    assert.deepEqual(markOf(live), { epoch: live.e, version: live.v });
    // The same facts in the format to come, and within the limits to come.
    const compact = asJson(encodeJobCompactly(job, Epoch(live.e)));
    const back = decodeJob(id, compact, Revision(9), SteadyMs(0));
    back.version = live.v;
    assert.deepEqual(asJson(encodeJob(back, Epoch(live.e))), live, `${name}: compact`);
    assert.ok(lowered.encode(job, Epoch(live.e)).bytes <= 2048, `${name}: too large`);
  }
});
