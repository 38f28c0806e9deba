/** The messages between controllers: requests and responses, each a discriminated union. */
import type { ControllerId } from '../units/index.js';
import type { Command, Heartbeat } from '../wire/index.js';

/** A controller's status, sent in each heartbeat between controllers and in its response. */
export interface PeerStatus {
  /** The leader that the controller knows of; empty if it knows of none. */
  readonly leader: string;
  /** The latest epoch that the controller knows of. */
  readonly epoch: number;
  /** Whether the store has responded to the controller recently. */
  readonly storeReachable: boolean;
}

/** The images that a machine's cache probably holds, least recently used first. */
export interface MachineImages {
  readonly machine: string;
  readonly images: readonly { readonly name: string; readonly gb: number }[];
}

/** A worker's heartbeat that a follower relays in full. */
export interface FullHeartbeat {
  readonly kind: 'full';
  readonly heartbeat: Heartbeat;
}

/**
 * A worker's heartbeat that shows the same tasks as an earlier one that the leader accepted in the same epoch, so
 * that only its sequence number and fencing token need to be sent.
 */
export interface UnchangedHeartbeat {
  readonly kind: 'unchanged';
  readonly machine: string;
  readonly session: number;
  readonly sequence: number;
  readonly fencingToken: number;
  /** The baseline that the leader assigned to the earlier heartbeat. */
  readonly unchangedSince: number;
}

/** A worker's heartbeat that a follower relays to the leader. */
export type RelayedHeartbeat = FullHeartbeat | UnchangedHeartbeat;

/**
 * `baselineUnknown`: the leader needs the heartbeat in full. `refused`: the leader could not handle the heartbeat now,
 * because it has no authority or the response is full.
 */
export type HeartbeatOutcome = 'accepted' | 'refused' | 'baselineUnknown';

/** The leader's response to one relayed heartbeat. */
export interface HeartbeatResponse {
  readonly outcome: HeartbeatOutcome;
  /** The number by which later heartbeats can refer to this one; 0 if they can't. */
  readonly baseline: number;
  readonly commands: readonly Command[];
}

/** A batch of workers' heartbeats that a follower relays to the leader. */
export interface WorkerHeartbeatsRequest {
  readonly type: 'workerHeartbeats';
  /** The controller that received the heartbeats from the workers. */
  readonly node: ControllerId;
  /** The epoch in which the baselines were assigned. */
  readonly epoch: number;
  readonly heartbeats: readonly RelayedHeartbeat[];
  /** Whether the sender reads `FencedHeartbeatResponses`; a sender of an earlier version does not. */
  readonly readsFencingTokens?: true;
}

/** Has a follower send commands to a worker whose heartbeats it relays. */
export interface SendCommandsRequest {
  readonly type: 'sendCommands';
  readonly address: string;
  readonly fencingToken: number;
  readonly session: number;
  readonly timeoutMs: number;
  readonly commands: readonly Command[];
}

/**
 * A job has changed: a follower wrote it to the store, so that the leader loads it; or the leader is about to tell a user
 * that it has come further. The receiver no longer tells what it had asked about the job before, and responds with `ok`.
 * The version before ignores the notice and responds without `ok`, unless it leads.
 */
export interface JobNotice {
  readonly type: 'jobNotice';
  readonly job: string;
}

/** A user's request that a follower relays to the leader. */
export type UserPeerRequest =
  | { readonly type: 'submitJob'; readonly body: Buffer }
  | { readonly type: 'readJob'; readonly job: string }
  | { readonly type: 'cancelJob'; readonly job: string };

/** Every request from one controller to another. */
export type PeerRequest =
  | { readonly type: 'peerHeartbeat'; readonly status: PeerStatus }
  | { readonly type: 'imageHints'; readonly machines: readonly MachineImages[] }
  | JobNotice
  | UserPeerRequest
  | WorkerHeartbeatsRequest
  | SendCommandsRequest;

/** The outcome of sending commands to a worker. `unknown`: they may have been, or may still be, carried out. */
export type CommandOutcome = 'answered' | 'undelivered' | 'unknown';

/** The response to `SendCommandsRequest`. */
export interface CommandResult {
  readonly type: 'commandResult';
  readonly outcome: CommandOutcome;
  /** What failed; empty if the worker responded. */
  readonly reason: string;
  /** The worker's status after the commands; null without a readable response. */
  readonly heartbeat: Heartbeat | null;
}

/** The responses to a batch of heartbeats, in the order of the batch. */
export interface HeartbeatResponses {
  readonly type: 'heartbeatResponses';
  /** The epoch in which the baselines were assigned, and the fencing token of all responses. */
  readonly epoch: number;
  readonly responses: readonly HeartbeatResponse[];
}

/** The leader's response to one relayed heartbeat, with a fencing token of its own. */
export interface FencedHeartbeatResponse extends HeartbeatResponse {
  readonly fencingToken: number;
}

/** The same as `HeartbeatResponses`, but the fencing token of each response may differ. */
export interface FencedHeartbeatResponses {
  readonly type: 'fencedHeartbeatResponses';
  /** The epoch in which the baselines were assigned. */
  readonly epoch: number;
  readonly responses: readonly FencedHeartbeatResponse[];
}

/** The response to a user's request, which the controller that received the request returns to the user. */
export interface UserResponse {
  readonly type: 'userResponse';
  readonly status: number;
  /** Seconds after which the user should retry; 0 if not set. */
  readonly retryAfter: number;
  /** The CBOR body that is sent to the user. */
  readonly body: Buffer;
}

/** Every response from one controller to another. */
export type PeerResponse =
  | { readonly type: 'peerStatus'; readonly status: PeerStatus }
  | { readonly type: 'acknowledged'; readonly ok: boolean }
  | UserResponse
  | HeartbeatResponses
  | FencedHeartbeatResponses
  | CommandResult;
