/**
 * Avro schemas of the messages between controllers. Avro encodes fields by position and enum symbols by index, so
 * the names here may change, but their order and types may not.
 */
import avro from 'avsc';
import type { PeerRequest, PeerResponse } from './messages.js';

const field = (name: string, type: avro.Schema) => ({ name, type });
const optionalField = (name: string, type: avro.Schema) => ({
  name,
  type: ['null', type] as avro.Schema,
  default: null,
});
const arrayOf = (items: avro.Schema): avro.Schema => ({ type: 'array', items });
const record = (name: string, fields: object[]): avro.Schema =>
  ({ type: 'record', name, fields }) as avro.Schema;

const statusSchema = record('PeerStatus', [
  field('leader', 'string'),
  field('epoch', 'long'),
  field('storeReachable', 'boolean'),
]);

const commandsSchema = arrayOf(
  record('TaskCommand', [
    field('type', { type: 'enum', name: 'CommandType', symbols: ['launch', 'kill', 'clear'] }),
    field('task', 'string'),
    field('attempt', 'long'),
    optionalField('gracePeriodSeconds', 'double'),
  ]),
);

const taskStatusSchema = record('TaskStatus', [
  field('task', 'string'),
  field('attempt', 'long'),
  field('state', 'string'),
  optionalField('exitReason', 'string'),
  optionalField('checkpointSaved', 'boolean'),
]);

const heartbeatSchema = record('WorkerHeartbeat', [
  field('machine', 'string'),
  field('address', 'string'),
  field('machineType', 'string'),
  field('zone', 'string'),
  field('spot', 'boolean'),
  field('session', 'long'),
  field('sequence', 'long'),
  field('fencingToken', 'long'),
  optionalField('reclaimNoticeSeconds', 'double'),
  field('tasks', arrayOf(taskStatusSchema)),
]);

const relayedHeartbeatSchema = record('RelayedHeartbeat', [
  optionalField('full', heartbeatSchema),
  optionalField(
    'unchanged',
    record('UnchangedHeartbeat', [
      field('machine', 'string'),
      field('session', 'long'),
      field('sequence', 'long'),
      field('fencingToken', 'long'),
      field('unchangedSince', 'long'),
    ]),
  ),
]);

const heartbeatResponseFields = [
  field('outcome', {
    type: 'enum',
    name: 'HeartbeatOutcome',
    symbols: ['accepted', 'refused', 'baselineUnknown'],
  }),
  field('baseline', 'long'),
  field('commands', commandsSchema),
];
const heartbeatResponseSchema = record('HeartbeatResponse', heartbeatResponseFields);
const fencedHeartbeatResponseSchema = record('FencedHeartbeatResponse', [
  ...heartbeatResponseFields,
  field('fencingToken', 'long'),
]);

const machineImagesSchema = record('MachineImages', [
  field('machine', 'string'),
  field('images', arrayOf(record('Image', [field('name', 'string'), field('gb', 'double')]))),
]);

/** The schemas by message type. Their order defines the symbols of the envelope's enum: add new ones at the end. */
const schemas = {
  peerHeartbeat: record('PeerHeartbeat', [field('status', statusSchema)]),
  imageHints: record('ImageHints', [field('machines', arrayOf(machineImagesSchema))]),
  jobNotice: record('JobNotice', [field('job', 'string')]),
  submitJob: record('SubmitJob', [field('body', 'bytes')]),
  readJob: record('ReadJob', [field('job', 'string')]),
  cancelJob: record('CancelJob', [field('job', 'string')]),
  workerHeartbeats: record('WorkerHeartbeats', [
    field('node', 'string'),
    field('epoch', 'long'),
    field('heartbeats', arrayOf(relayedHeartbeatSchema)),
  ]),
  sendCommands: record('SendCommands', [
    field('address', 'string'),
    field('fencingToken', 'long'),
    field('session', 'long'),
    field('timeoutMs', 'double'),
    field('commands', commandsSchema),
  ]),
  peerStatus: record('PeerStatusResponse', [field('status', statusSchema)]),
  acknowledged: record('Acknowledged', [field('ok', 'boolean')]),
  userResponse: record('UserResponse', [
    field('status', 'int'),
    field('retryAfter', 'int'),
    field('body', 'bytes'),
  ]),
  heartbeatResponses: record('HeartbeatResponses', [
    field('epoch', 'long'),
    field('responses', arrayOf(heartbeatResponseSchema)),
  ]),
  commandResult: record('CommandResult', [
    field('outcome', {
      type: 'enum',
      name: 'CommandOutcome',
      symbols: ['answered', 'undelivered', 'unknown'],
    }),
    field('reason', 'string'),
    optionalField('heartbeat', heartbeatSchema),
  ]),
  fencedHeartbeatResponses: record('FencedHeartbeatResponses', [
    field('epoch', 'long'),
    field('responses', arrayOf(fencedHeartbeatResponseSchema)),
  ]),
} satisfies Record<PeerRequest['type'] | PeerResponse['type'], avro.Schema>;

/** The type of any message, request or response. */
export type MessageType = keyof typeof schemas;

/** The envelope of any message: its type, its payload, and the id that matches a response to its request. */
export const EnvelopeType = avro.Type.forSchema({
  type: 'record',
  name: 'Envelope',
  fields: [
    { name: 'id', type: 'int' },
    { name: 'type', type: { type: 'enum', name: 'MessageType', symbols: Object.keys(schemas) } },
    { name: 'payload', type: 'bytes' },
  ],
});

const payloadTypes = new Map<MessageType, avro.Type>();

/** Compiles a schema on first use, so that unused schemas do not delay the start of the process. */
export function payloadTypeOf(type: MessageType): avro.Type {
  let payloadType = payloadTypes.get(type);
  if (!payloadType) {
    payloadType = avro.Type.forSchema(schemas[type]);
    payloadTypes.set(type, payloadType);
  }
  return payloadType;
}
