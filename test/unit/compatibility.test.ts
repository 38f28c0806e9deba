/**
 * Checks messages and records against those of the version in production, as `tools/record-production.mjs` recorded
 * them. During a rolling update both versions run: a change of the format would make peers disconnect each other, or
 * make a new leader unable to read the jobs in the store.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { decodeJob, encodeJob, encodeJobCompactly, writeIdOf } from '../../src/ledger/job-codec.js';
import { encodeFinal } from '../../src/ledger/final-record.js';
import { RecordLimits } from '../../src/ledger/record-limits.js';
import {
  decodeRequest,
  decodeResponse,
  encodeRequest,
  encodeResponse,
} from '../../src/peer/codec.js';
import type { PeerRequest, PeerResponse } from '../../src/peer/messages.js';
import { Epoch, JobId, Revision, SteadyMs } from '../../src/units/index.js';
import { decodeCommand, decodeHeartbeat } from '../../src/wire/index.js';

/** A relayed heartbeat as the version in production names its fields. */
interface RecordedHeartbeat {
  readonly kind: string;
  readonly report?: unknown;
  readonly token?: number;
}

interface RecordedMessage {
  readonly id: number;
  readonly message: {
    readonly type: string;
    readonly body?: string;
    readonly why?: string;
    readonly token?: number;
    readonly reports?: readonly RecordedHeartbeat[];
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

/** The message types: the names in the version in production, mapped to the names in this version. */
const TYPE_NAMES = new Map([
  ['heartbeat', 'peerHeartbeat'],
  ['reports', 'workerHeartbeats'],
  ['command', 'sendCommands'],
  ['status', 'peerStatus'],
  ['reportResponses', 'heartbeatResponses'],
]);

/** Converts a recorded message to the names of this version. */
function toCurrentMessage({ message }: RecordedMessage): unknown {
  const { type, body, why, token, reports, orders, responses, report, ...rest } = message;
  return {
    ...rest,
    type: TYPE_NAMES.get(type) ?? type,
    ...(body === undefined ? {} : { body: Buffer.from(body, 'hex') }),
    ...(why === undefined ? {} : { reason: why }),
    ...(token === undefined ? {} : { fencingToken: token }),
    ...(orders === undefined ? {} : { commands: orders.map(decodeCommand) }),
    ...(report === undefined ? {} : { heartbeat: report && decodeHeartbeat(report) }),
    ...(reports === undefined ? {} : { heartbeats: reports.map(toRelayedHeartbeat) }),
    ...(responses === undefined ? {} : { responses: responses.map(toHeartbeatResponse) }),
  };
}

const toRelayedHeartbeat = ({ report, token, ...rest }: RecordedHeartbeat): unknown => ({
  ...rest,
  ...(report === undefined ? {} : { heartbeat: decodeHeartbeat(report) }),
  ...(token === undefined ? {} : { fencingToken: token }),
});

const toHeartbeatResponse = ({
  orders,
  ...rest
}: {
  readonly orders: readonly unknown[];
}): unknown => ({
  ...rest,
  commands: orders.map(decodeCommand),
});

const asJson = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/** Asserts that encoding the recorded message gives the recorded bytes, and that decoding these gives the message. */
function assertRoundTrip<Message extends PeerRequest | PeerResponse>(
  recorded: RecordedMessage,
  encode: (id: number, message: Message) => Buffer,
  decode: (bytes: Buffer) => { readonly message: Message },
): void {
  const message = toCurrentMessage(recorded) as Message;
  assert.equal(encode(recorded.id, message).toString('hex'), recorded.bytes, message.type);
  const decoded = decode(Buffer.from(recorded.bytes, 'hex'));
  assert.deepEqual(asJson(decoded.message), asJson(message));
}

void test('messages between controllers are byte for byte those of the version in production', () => {
  assert.equal(production.requests.length, 9);
  for (const recorded of production.requests)
    assertRoundTrip(recorded, encodeRequest, decodeRequest);
  assert.equal(production.responses.length, 6);
  for (const recorded of production.responses)
    assertRoundTrip(recorded, encodeResponse, decodeResponse);
});

void test('records of the version in production are decoded, and encoded exactly as it encodes them', () => {
  const fallingLimits = {
    requestRate: 80,
    writeRate: 15,
    valueBytes: 8192,
    transactionOps: 8,
    next: { requestRate: 80, writeRate: 15, valueBytes: 2048, transactionOps: 4 },
  };
  const limits = new RecordLimits(fallingLimits);
  const loweredLimits = new RecordLimits(fallingLimits);
  loweredLimits.onSizeRefusal();
  assert.equal(production.records.length, 7);
  for (const { name, live, final } of production.records) {
    const id = JobId('run-000412');
    const job = decodeJob(id, live, Revision(9), SteadyMs(0));
    job.version = live.v;
    assert.deepEqual(asJson(encodeJob(job, Epoch(live.e))), live, name);
    assert.deepEqual(asJson(limits.encode(job, Epoch(live.e)).record), live, `${name}: no change`);
    if (final !== null) assert.deepEqual(asJson(encodeFinal(job.finalState())), final, name);
    assert.deepEqual(writeIdOf(live), { epoch: live.e, version: live.v });
    // The compact format keeps the same state, and the record fits the lowered limits.
    const compact = asJson(encodeJobCompactly(job, Epoch(live.e)));
    const decoded = decodeJob(id, compact, Revision(9), SteadyMs(0));
    decoded.version = live.v;
    assert.deepEqual(asJson(encodeJob(decoded, Epoch(live.e))), live, `${name}: compact`);
    assert.ok(loweredLimits.encode(job, Epoch(live.e)).bytes <= 2048, `${name}: too large`);
  }
});
