/**
 * The messages between controllers: requests and responses as discriminated unions, each with an Avro
 * schema of its own, inside an envelope that names the type and pairs a response with its request.
 */
import avro from 'avsc';
import type { NodeId } from '../units/index.js';
import type { Heartbeat, Command } from '../wire/index.js';

/** What a controller says of itself in each heartbeat and in the response to one. */
export interface PeerStatus {
  /** The leader that it knows of, and the epoch; empty if it knows of none. */
  readonly leader: string;
  readonly epoch: number;
  /** Whether the state service answered it lately. */
  readonly storeReachable: boolean;
}

/** The images that a machine probably has in its cache, least lately used first. */
export interface MachineImages {
  readonly machine: string;
  readonly images: readonly { readonly name: string; readonly gb: number }[];
}

/**
 * A worker's report as a follower passes it on. `unchangedSince` names a report that the leader took
 * before under the same epoch: this one shows the same tasks, and only its sequence number differs.
 */
export type RelayedReport =
  | { readonly kind: 'full'; readonly report: Heartbeat }
  | {
      readonly kind: 'unchanged';
      readonly machine: string;
      readonly session: number;
      readonly sequence: number;
      readonly token: number;
      readonly unchangedSince: number;
    };

/** `baselineUnknown`: the leader needs the report in full. `refused`: it may not answer it. */
export type ReportOutcome = 'accepted' | 'refused' | 'baselineUnknown';

export interface ReportResponse {
  readonly outcome: ReportOutcome;
  /** By which later reports can refer to this one; 0 if they can't. */
  readonly baseline: number;
  readonly orders: readonly Command[];
}

/** How a command that a follower passed on to a worker went. */
export type CommandOutcome = 'answered' | 'undelivered' | 'unknown';

export type PeerRequest =
  | { readonly type: 'heartbeat'; readonly status: PeerStatus }
  | { readonly type: 'imageHints'; readonly machines: readonly MachineImages[] }
  | { readonly type: 'jobNotice'; readonly job: string }
  | { readonly type: 'submitJob'; readonly body: Buffer }
  | { readonly type: 'readJob'; readonly job: string }
  | { readonly type: 'cancelJob'; readonly job: string }
  | {
      readonly type: 'reports';
      /** The node that the workers report to. */
      readonly node: NodeId;
      /** The epoch under which the baselines were given. */
      readonly epoch: number;
      readonly reports: readonly RelayedReport[];
    }
  | {
      readonly type: 'command';
      readonly address: string;
      readonly token: number;
      readonly session: number;
      readonly timeoutMs: number;
      readonly orders: readonly Command[];
    };

export type PeerResponse =
  | { readonly type: 'status'; readonly status: PeerStatus }
  | { readonly type: 'acknowledged'; readonly ok: boolean }
  | {
      readonly type: 'userResponse';
      readonly status: number;
      readonly retryAfter: number;
      /** CBOR, as the user gets it. */
      readonly body: Buffer;
    }
  | {
      readonly type: 'reportResponses';
      readonly epoch: number;
      readonly responses: readonly ReportResponse[];
    }
  | {
      readonly type: 'commandResult';
      readonly outcome: CommandOutcome;
      readonly why: string;
      readonly report: Heartbeat | null;
    };

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
  field(
    'tasks',
    arrayOf(
      record('TaskStatus', [
        field('task', 'string'),
        field('attempt', 'long'),
        field('state', 'string'),
        optionalField('exitReason', 'string'),
        optionalField('checkpointSaved', 'boolean'),
      ]),
    ),
  ),
]);

const relayedReportSchema = record('RelayedReport', [
  optionalField('full', heartbeatSchema),
  optionalField(
    'unchanged',
    record('UnchangedReport', [
      field('machine', 'string'),
      field('session', 'long'),
      field('sequence', 'long'),
      field('token', 'long'),
      field('unchangedSince', 'long'),
    ]),
  ),
]);

const reportResponseSchema = record('ReportResponse', [
  field('outcome', {
    type: 'enum',
    name: 'ReportOutcome',
    symbols: ['accepted', 'refused', 'baselineUnknown'],
  }),
  field('baseline', 'long'),
  field('orders', commandsSchema),
]);

const schemas = {
  heartbeat: record('Heartbeat', [field('status', statusSchema)]),
  imageHints: record('ImageHints', [
    field(
      'machines',
      arrayOf(
        record('MachineImages', [
          field('machine', 'string'),
          field(
            'images',
            arrayOf(record('Image', [field('name', 'string'), field('gb', 'double')])),
          ),
        ]),
      ),
    ),
  ]),
  jobNotice: record('JobNotice', [field('job', 'string')]),
  submitJob: record('SubmitJob', [field('body', 'bytes')]),
  readJob: record('ReadJob', [field('job', 'string')]),
  cancelJob: record('CancelJob', [field('job', 'string')]),
  reports: record('Reports', [
    field('node', 'string'),
    field('epoch', 'long'),
    field('reports', arrayOf(relayedReportSchema)),
  ]),
  command: record('Command', [
    field('address', 'string'),
    field('token', 'long'),
    field('session', 'long'),
    field('timeoutMs', 'double'),
    field('orders', commandsSchema),
  ]),
  status: record('Status', [field('status', statusSchema)]),
  acknowledged: record('Acknowledged', [field('ok', 'boolean')]),
  userResponse: record('UserResponse', [
    field('status', 'int'),
    field('retryAfter', 'int'),
    field('body', 'bytes'),
  ]),
  reportResponses: record('ReportResponses', [
    field('epoch', 'long'),
    field('responses', arrayOf(reportResponseSchema)),
  ]),
  commandResult: record('CommandResult', [
    field('outcome', {
      type: 'enum',
      name: 'CommandOutcome',
      symbols: ['answered', 'undelivered', 'unknown'],
    }),
    field('why', 'string'),
    optionalField('report', heartbeatSchema),
  ]),
} satisfies Record<PeerRequest['type'] | PeerResponse['type'], avro.Schema>;

type MessageType = keyof typeof schemas;
const MESSAGE_TYPES = Object.keys(schemas) as MessageType[];

const EnvelopeType = avro.Type.forSchema({
  type: 'record',
  name: 'Envelope',
  fields: [
    { name: 'id', type: 'int' },
    { name: 'type', type: { type: 'enum', name: 'MessageType', symbols: MESSAGE_TYPES } },
    { name: 'payload', type: 'bytes' },
  ],
});

const codecs = new Map<MessageType, avro.Type>();

/** Made when it is first needed: a starting process has no time for schemas that it may never use. */
function codecOf(type: MessageType): avro.Type {
  let codec = codecs.get(type);
  if (!codec) {
    codec = avro.Type.forSchema(schemas[type]);
    codecs.set(type, codec);
  }
  return codec;
}

/** A relayed report as its schema has it: one of two optional records. */
const relayedToRecord = (r: RelayedReport): object =>
  r.kind === 'full' ? { full: r.report } : { unchanged: r };

interface CommandRecord {
  readonly type: Command['type'];
  readonly task: string;
  readonly attempt: number;
  readonly gracePeriodSeconds: number | null;
}

type ReportResponseRecord = Omit<ReportResponse, 'orders'> & { readonly orders: CommandRecord[] };

/** A grace period belongs to a command to stop alone. */
function commandFromRecord({ type, task, attempt, gracePeriodSeconds }: CommandRecord): Command {
  if (type !== 'kill') return { type, task, attempt };
  return { type, task, attempt, gracePeriodSeconds: gracePeriodSeconds ?? 0 };
}

interface RelayedRecord {
  readonly full: Heartbeat | null;
  readonly unchanged: Omit<RelayedReport & { kind: 'unchanged' }, 'kind'> | null;
}

function relayedFromRecord({ full, unchanged }: RelayedRecord): RelayedReport {
  if (full) return { kind: 'full', report: full };
  if (unchanged) return { kind: 'unchanged', ...unchanged };
  throw new TypeError('a relayed report is neither full nor unchanged');
}

export interface Envelope<Message> {
  /** Pairs a response with its request on one connection. */
  readonly id: number;
  readonly message: Message;
}

function encodeMessage(id: number, message: PeerRequest | PeerResponse): Buffer {
  const value =
    message.type === 'reports'
      ? { ...message, reports: message.reports.map(relayedToRecord) }
      : message;
  const payload = codecOf(message.type).toBuffer(value);
  return EnvelopeType.toBuffer({ id, type: message.type, payload });
}

function decodeMessage(bytes: Buffer): Envelope<PeerRequest | PeerResponse> {
  const { id, type, payload } = EnvelopeType.fromBuffer(bytes) as {
    id: number;
    type: MessageType;
    payload: Buffer;
  };
  const value = codecOf(type).fromBuffer(payload) as object;
  if (type === 'command') {
    const command = value as Omit<PeerRequest & { type: 'command' }, 'orders'> & {
      orders: CommandRecord[];
    };
    const orders = command.orders.map(commandFromRecord);
    return { id, message: { ...command, type, orders } };
  }
  if (type === 'reportResponses') {
    const batch = value as { epoch: number; responses: ReportResponseRecord[] };
    const responses = batch.responses.map((r) => ({
      ...r,
      orders: r.orders.map(commandFromRecord),
    }));
    return { id, message: { type, epoch: batch.epoch, responses } };
  }
  if (type === 'reports') {
    const batch = value as { node: NodeId; epoch: number; reports: RelayedRecord[] };
    const reports = batch.reports.map(relayedFromRecord);
    return { id, message: { type, node: batch.node, epoch: batch.epoch, reports } };
  }
  return { id, message: { type, ...value } as PeerRequest | PeerResponse };
}

const RESPONSE_TYPES: ReadonlySet<string> = new Set<PeerResponse['type']>([
  'status',
  'acknowledged',
  'userResponse',
  'reportResponses',
  'commandResult',
]);

const isResponse = (m: PeerRequest | PeerResponse): m is PeerResponse => RESPONSE_TYPES.has(m.type);

export const encodeRequest = (id: number, request: PeerRequest): Buffer =>
  encodeMessage(id, request);
export const encodeResponse = (id: number, response: PeerResponse): Buffer =>
  encodeMessage(id, response);

/** Throws on anything that is not a request of this version. */
export function decodeRequest(bytes: Buffer): Envelope<PeerRequest> {
  const { id, message } = decodeMessage(bytes);
  if (isResponse(message)) throw new TypeError(`${message.type} is no request`);
  return { id, message };
}

/** Throws on anything that is not a response of this version. */
export function decodeResponse(bytes: Buffer): Envelope<PeerResponse> {
  const { id, message } = decodeMessage(bytes);
  if (!isResponse(message)) throw new TypeError(`${message.type} is no response`);
  return { id, message };
}
