/** Encodes messages between controllers as bytes: an envelope around an Avro record. */
import type { Command, Heartbeat } from '../wire/index.js';
import type {
  FencedHeartbeatResponse,
  HeartbeatResponse,
  HeartbeatResponses,
  PeerRequest,
  PeerResponse,
  RelayedHeartbeat,
  SendCommandsRequest,
  UnchangedHeartbeat,
  WorkerHeartbeatsRequest,
} from './messages.js';
import { EnvelopeType, payloadTypeOf, type MessageType } from './schemas.js';

/** A message with the id under which it is sent. */
export interface Envelope<Message> {
  /** Matches a response to its request on one connection. */
  readonly id: number;
  readonly message: Message;
}

/** Thrown for a message that this version can't read, or that is not allowed in the direction in which it was sent. */
export class MessageError extends Error {
  override readonly name = 'MessageError';
}

// The Avro records have optional fields in place of the discriminated unions.

interface CommandRecord {
  readonly type: Command['type'];
  readonly task: string;
  readonly attempt: number;
  readonly gracePeriodSeconds: number | null;
}

interface RelayedRecord {
  readonly full: Heartbeat | null;
  readonly unchanged: Omit<UnchangedHeartbeat, 'kind'> | null;
}

type WithCommandRecords<T> = Omit<T, 'commands'> & { readonly commands: readonly CommandRecord[] };

type WorkerHeartbeatsRecord = Omit<WorkerHeartbeatsRequest, 'type' | 'heartbeats'> & {
  readonly heartbeats: readonly RelayedRecord[];
};

type HeartbeatResponsesRecord<Response extends HeartbeatResponse> = Omit<
  HeartbeatResponses,
  'type' | 'responses'
> & {
  readonly responses: readonly WithCommandRecords<Response>[];
};

/** Drops the grace period from all commands except `kill`, the only one that has it. */
function toCommand({ type, task, attempt, gracePeriodSeconds }: CommandRecord): Command {
  if (type !== 'kill') return { type, task, attempt };
  return { type, task, attempt, gracePeriodSeconds: gracePeriodSeconds ?? 0 };
}

function toRelayedHeartbeat({ full, unchanged }: RelayedRecord): RelayedHeartbeat {
  if (full) return { kind: 'full', heartbeat: full };
  if (unchanged) return { kind: 'unchanged', ...unchanged };
  throw new MessageError('relayed heartbeat has neither the field full nor the field unchanged');
}

const toRelayedRecord = (relayed: RelayedHeartbeat): object =>
  relayed.kind === 'full' ? { full: relayed.heartbeat } : { unchanged: relayed };

const toHeartbeatResponse = (
  response: WithCommandRecords<HeartbeatResponse>,
): HeartbeatResponse => ({
  ...response,
  commands: response.commands.map(toCommand),
});

const toFencedHeartbeatResponse = (
  response: WithCommandRecords<FencedHeartbeatResponse>,
): FencedHeartbeatResponse => ({
  ...toHeartbeatResponse(response),
  fencingToken: response.fencingToken,
});

function encodeMessage(id: number, message: PeerRequest | PeerResponse): Buffer {
  const value =
    message.type === 'workerHeartbeats'
      ? { ...message, heartbeats: message.heartbeats.map(toRelayedRecord) }
      : message;
  const payload = payloadTypeOf(message.type).toBuffer(value);
  return EnvelopeType.toBuffer({ id: envelopeId(id, message), type: message.type, payload });
}

/**
 * The id in the envelope. A negative one tells the peer that the sender reads `FencedHeartbeatResponses`: no message of
 * the version before has a field for that, but it returns any id unchanged.
 */
const envelopeId = (id: number, message: PeerRequest | PeerResponse): number =>
  message.type === 'workerHeartbeats' && message.readsFencingTokens ? -id : id;

function toMessage(id: number, type: MessageType, value: object): PeerRequest | PeerResponse {
  switch (type) {
    case 'sendCommands': {
      const request = value as WithCommandRecords<SendCommandsRequest>;
      return { ...request, type, commands: request.commands.map(toCommand) };
    }
    case 'heartbeatResponses': {
      const { epoch, responses } = value as HeartbeatResponsesRecord<HeartbeatResponse>;
      return { type, epoch, responses: responses.map(toHeartbeatResponse) };
    }
    case 'fencedHeartbeatResponses': {
      const { epoch, responses } = value as HeartbeatResponsesRecord<FencedHeartbeatResponse>;
      return { type, epoch, responses: responses.map(toFencedHeartbeatResponse) };
    }
    case 'workerHeartbeats': {
      const { node, epoch, heartbeats } = value as WorkerHeartbeatsRecord;
      const request = { type, node, epoch, heartbeats: heartbeats.map(toRelayedHeartbeat) };
      return id < 0 ? { ...request, readsFencingTokens: true } : request;
    }
    default:
      return { type, ...value } as PeerRequest | PeerResponse;
  }
}

function decodeMessage(bytes: Buffer): Envelope<PeerRequest | PeerResponse> {
  const { id, type, payload } = EnvelopeType.fromBuffer(bytes) as {
    id: number;
    type: MessageType;
    payload: Buffer;
  };
  return { id, message: toMessage(id, type, payloadTypeOf(type).fromBuffer(payload) as object) };
}

const RESPONSE_TYPES: ReadonlySet<string> = new Set<PeerResponse['type']>([
  'peerStatus',
  'acknowledged',
  'userResponse',
  'heartbeatResponses',
  'fencedHeartbeatResponses',
  'commandResult',
]);

const isResponse = (message: PeerRequest | PeerResponse): message is PeerResponse =>
  RESPONSE_TYPES.has(message.type);

/** Encodes a request as the payload of one frame. */
export const encodeRequest = (id: number, request: PeerRequest): Buffer =>
  encodeMessage(id, request);

/** Encodes a response as the payload of one frame, with the id of its request. */
export const encodeResponse = (id: number, response: PeerResponse): Buffer =>
  encodeMessage(id, response);

/** Decodes a request, with the id for its response; throws on anything that is not a request of this version. */
export function decodeRequest(bytes: Buffer): Envelope<PeerRequest> {
  const { id, message } = decodeMessage(bytes);
  if (isResponse(message))
    throw new MessageError(`expected a request from the peer, got ${message.type}`);
  return { id, message };
}

/** Decodes a response; throws on anything that is not a response of this version. */
export function decodeResponse(bytes: Buffer): Envelope<PeerResponse> {
  const { id, message } = decodeMessage(bytes);
  if (!isResponse(message))
    throw new MessageError(`expected a response from the peer, got ${message.type}`);
  return { id: Math.abs(id), message };
}
