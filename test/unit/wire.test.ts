/**
 * Checks the messages of the external protocols: which are accepted, and how each field is mapped. A wrong name or
 * type breaks every user, worker or call to the cloud or the store; an unchecked field lets invalid values into the
 * scheduler.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MAX_BODY_BYTES,
  decode,
  decodeCommand,
  decodeHeartbeat,
  decodeWorkerHeartbeatResponse,
  decodeJobSpecValues,
  decodeMachinePage,
  decodeMachineTypes,
  encode,
  encodeCommandRequest,
  encodeHeartbeat,
  encodeWorkerHeartbeatResponse,
  encodeJobSpec,
  encodeJobSpecValues,
  encodeMachineTypes,
  encodeScaleOutRequest,
  encodeTransaction,
  parseSubmission,
  decodeSubmissionId,
} from '../../src/wire/index.js';
import { jobSpec } from '../support/job-spec.js';

const valid = encodeJobSpec(jobSpec({}));

void test('submissions: each field is validated', () => {
  const cases: [string, Record<string, unknown>, boolean][] = [
    ['valid', {}, true],
    ['id of the wrong format', { name_id: 'job-000001' }, false],
    ['id with letters', { name_id: 'run-00a001' }, false],
    ['id missing', { name_id: undefined }, false],
    ['id not a string', { name_id: 7 }, false],
    ['docket empty', { docket: '' }, false],
    ['docket a number', { docket: 1 }, false],
    ['desk missing', { desk: undefined }, false],
    ['unknown shape', { shape: 'spiral' }, false],
    ['unknown urgency', { urgency: 'urgent' }, false],
    ['no tasks', { entries: 0 }, false],
    ['the maximum of tasks', { entries: 100_000 }, true],
    ['too many tasks', { entries: 100_001 }, false],
    ['a fractional number of tasks', { entries: 1.5 }, false],
    ['no cpus', { vcpus: 0 }, false],
    ['negative cpus', { vcpus: -1 }, false],
    ['infinite cpus', { vcpus: Infinity }, false],
    ['cpus not a number', { vcpus: NaN }, false],
    ['cpus a string', { vcpus: '4' }, false],
    ['negative gpus', { gpus: -1 }, false],
    ['negative memory', { ram_gb: -0.5 }, false],
    ['image missing', { bundle: undefined }, false],
    ['image size negative', { size_gb: -1 }, false],
    ['types null', { builds: null }, true],
    ['types missing', { builds: undefined }, true],
    ['types not a list', { builds: 'g8' }, false],
    ['types hold a number', { builds: [1] }, false],
    ['zone null', { hall: null }, true],
    ['zone a number', { hall: 3 }, false],
    ['together missing', { together: undefined }, false],
    ['together a number', { together: 1 }, false],
    ['apart a string', { apart: 'no' }, false],
    ['loaners null', { loaners: null }, false],
    ['estimate negative', { expected_s: -3 }, false],
    ['checkpoint infinite', { stamp_every_s: Infinity }, false],
    ['save time missing', { stamp_s: undefined }, false],
    ['due null', { due_s: null }, true],
    ['due missing', { due_s: undefined }, true],
    ['due negative', { due_s: -1 }, false],
    ['an unknown field', { colour: 'red' }, true],
  ];
  for (const [name, change, isValid] of cases) {
    const parsed = parseSubmission(encode({ ...valid, ...change }));
    assert.equal(parsed.ok, isValid, `${name}: ${JSON.stringify(parsed)}`);
  }
});

void test('submissions: bodies that hold no submission are refused', () => {
  const cases: [string, Buffer][] = [
    ['empty', Buffer.alloc(0)],
    ['JSON', Buffer.from(JSON.stringify(valid))],
    ['a list', encode([valid])],
    ['a number', encode(4)],
    ['null', encode(null)],
    ['more than one item', Buffer.concat([encode(valid), encode(1)])],
    ['truncated', encode(valid).subarray(0, 40)],
    ['too long', encode({ ...valid, padding: 'x'.repeat(MAX_BODY_BYTES) })],
  ];
  for (const [name, body] of cases) assert.equal(parseSubmission(body).ok, false, name);
  assert.equal(decodeSubmissionId(encode({ ...valid, shape: 'spiral' })), 'run-000001');
  assert.equal(decodeSubmissionId(encode({ ...valid, name_id: 'x' })), undefined);
});

void test('integers beyond 32 bits are encoded as integers', () => {
  const bytes = encode({ baton: 2 ** 40 + 1 });
  assert.equal(bytes[bytes.length - 9], 0x1b);
  assert.deepEqual(decode(bytes), { baton: 2 ** 40 + 1 });
});

void test('heartbeats: null is equal to a missing field, and unknown fields are ignored', () => {
  const machine = { box: 'vm-000001', addr: '10.1.0.1:9000', build: 'a', hall: 'z', loaners: true };
  const message = { ...machine, shift: 1, tally: 2, baton: 3, entries: [] };
  assert.ok(decodeHeartbeat(message));
  assert.ok(decodeHeartbeat({ ...message, recall_s: null, extra: 1 }));
  assert.ok(!decodeHeartbeat({ ...message, tally: -1 }));
  assert.ok(!decodeHeartbeat(machine));
});

// The messages in this and the following tests are the examples of the protocol.
void test('submissions: every field of the protocol is mapped in both directions', () => {
  const message = {
    name_id: 'run-000412',
    docket: 'train',
    desk: 'vision',
    shape: 'sweep' as const,
    urgency: 'high' as const,
    entries: 16,
    vcpus: 8,
    gpus: 1,
    ram_gb: 64,
    bundle: 'img-07',
    size_gb: 6.2,
    builds: ['g8'],
    hall: null,
    together: true,
    apart: false,
    loaners: true,
    expected_s: 240,
    stamp_every_s: 30,
    stamp_s: 4,
    due_s: 900,
  };
  const parsed = parseSubmission(encode(message));
  assert.ok(parsed.ok);
  assert.deepEqual(parsed.value, {
    id: 'run-000412',
    jobClass: 'train',
    team: 'vision',
    kind: 'sweep',
    priority: 'high',
    taskCount: 16,
    cpus: 8,
    gpus: 1,
    memoryGb: 64,
    image: 'img-07',
    imageSizeGb: 6.2,
    machineTypes: ['g8'],
    zone: null,
    singleZone: true,
    spreadZones: false,
    allowSpot: true,
    expectedRuntimeSeconds: 240,
    checkpointIntervalSeconds: 30,
    checkpointSeconds: 4,
    deadlineSeconds: 900,
  });
  assert.equal(JSON.stringify(encodeJobSpec(parsed.value)), JSON.stringify(message));
  const { name_id: id, ...rest } = message;
  const values = encodeJobSpecValues(parsed.value);
  assert.deepEqual(values, Object.values(rest), 'compact records hold the values in this order');
  assert.deepEqual(decodeJobSpecValues(id, values), parsed.value);
});

void test('workers: every field of the protocol is mapped in both directions', () => {
  const message = {
    box: 'vm-000231',
    addr: '10.1.0.232:9000',
    build: 'g8',
    hall: 'a',
    loaners: true,
    shift: 1,
    tally: 88,
    baton: 41,
    recall_s: 12.5,
    entries: [{ entry: 'run-000398/0', try: 1, status: 'exited', cause: 'done', kept: null }],
  };
  const heartbeat = decodeHeartbeat(message);
  assert.deepEqual(heartbeat, {
    machine: 'vm-000231',
    address: '10.1.0.232:9000',
    machineType: 'g8',
    zone: 'a',
    spot: true,
    session: 1,
    sequence: 88,
    fencingToken: 41,
    reclaimNoticeSeconds: 12.5,
    tasks: [
      {
        task: 'run-000398/0',
        attempt: 1,
        state: 'exited',
        exitReason: 'done',
        checkpointSaved: null,
      },
    ],
  });
  assert.deepEqual(encodeHeartbeat(heartbeat), message);
  const orders = [
    { verb: 'launch', entry: 'run-000412/4', try: 2 },
    { verb: 'kill', entry: 'run-000377/1', try: 1, wind_down_s: 10 },
    { verb: 'clear', entry: 'run-000398/0', try: 1 },
  ];
  const commands = orders.map(decodeCommand);
  assert.deepEqual(commands[1], {
    type: 'kill',
    task: 'run-000377/1',
    attempt: 1,
    gracePeriodSeconds: 10,
  });
  const response = { fencingToken: 41, commands };
  assert.deepEqual(encodeWorkerHeartbeatResponse(response), { baton: 41, orders });
  assert.deepEqual(decodeWorkerHeartbeatResponse({ baton: 41, orders }), response);
  const request = encodeCommandRequest({ ...response, session: 3 });
  assert.deepEqual(request, { baton: 41, shift: 3, orders });
});

void test('cloud and store: every field of the protocol is mapped', () => {
  const types = {
    builds: [
      {
        name: 'g8',
        vcpus: 96,
        gpus: 8,
        ram_gb: 768,
        cache_gb: 200,
        fetch_gb_per_s: 1,
        rate: 12,
        spot_price: 4.5,
        ready_s: 45,
        halls: ['a', 'b'],
      },
    ],
  };
  const decoded = decodeMachineTypes(types);
  assert.deepEqual(decoded, [
    {
      name: 'g8',
      cpus: 96,
      gpus: 8,
      memoryGb: 768,
      cacheGb: 200,
      fetchGbPerSecond: 1,
      onDemandPrice: 12,
      spotPrice: 4.5,
      bootSeconds: 45,
      zones: ['a', 'b'],
    },
  ]);
  assert.deepEqual(encodeMachineTypes(decoded), types);
  assert.deepEqual(
    encodeScaleOutRequest({
      requestId: 'r-17',
      machineType: 'g8',
      zone: 'a',
      spot: true,
      count: 12,
    }),
    { hire: 'r-17', build: 'g8', hall: 'a', loaners: true, how_many: 12 },
  );
  const listed = {
    name_id: 'vm-000231',
    addr: '10.1.0.232:9000',
    build: 'g8',
    hall: 'a',
    loaners: true,
    status: 'running',
    age_s: 61.5,
  };
  assert.deepEqual(decodeMachinePage({ boxes: [listed], has_next: false }), {
    machines: [
      {
        id: 'vm-000231',
        address: '10.1.0.232:9000',
        machineType: 'g8',
        zone: 'a',
        spot: true,
        status: 'running',
        ageSeconds: 61.5,
      },
    ],
    hasNext: false,
  });
  const writes = [
    { put: 'a/b', data: {}, leaseId: 7 },
    { put: 'a/c', data: {} },
    { delete: 'c/d' },
  ];
  assert.deepEqual(encodeTransaction([{ key: 'a/b', revision: 0 }], writes), {
    if: [{ key: 'a/b', stamp: 0 }],
    writes: [{ put: 'a/b', data: {}, tenure: 7 }, { put: 'a/c', data: {} }, { delete: 'c/d' }],
  });
});
