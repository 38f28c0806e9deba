/** The messages between controllers: requests and responses, each a discriminated union. */
import type { ControllerId } from '../units/index.js';
import type { Command, Heartbeat } from '../wire/index.js';

/** A controller's status, in each heartbeat between controllers and in the response to one. */
export interface PeerStatus {
  /** The leader that it knows of; empty if it knows of none. */
  readonly leader: string;
  /** The latest epoch that it knows of. */
  readonly epoch: number;
  /** Whether the state service has answered it recently. */
  readonly storeReachable: boolean;
}

/** The images that a machine probably has in its cache, least recently used first. */
export interface MachineImages {
  readonly machine: string;
  readonly images: readonly { readonly name: string; readonly gb: number }[];
}

/** A worker's heartbeat that a follower passes on as it is. */
export interface FullHeartbeat {
  readonly kind: 'full';
  readonly heartbeat: Heartbeat;
}

/**
 * A worker's heartbeat that shows the same tasks as one that the leader accepted before under the same epoch,
 * so that only its sequence number and token need to be sent.
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

/** A worker's heartbeat on its way from a follower to the leader. */
export type RelayedHeartbeat = FullHeartbeat | UnchangedHeartbeat;

/** `baselineUnknown`: the leader needs the heartbeat in full. `refused`: it has no authority to answer it. */
export type HeartbeatOutcome = 'accepted' | 'refused' | 'baselineUnknown';

/** The leader's response to one relayed heartbeat. */
export interface HeartbeatResponse {
  readonly outcome: HeartbeatOutcome;
  /** The number by which later heartbeats can refer to this one; 0 if they can't. */
  readonly baseline: number;
  readonly commands: readonly Command[];
}

/** Heartbeats that reached a follower, for the leader to answer. */
export interface WorkerHeartbeatsRequest {
  readonly type: 'workerHeartbeats';
  /** The node that the workers report to. */
  readonly node: ControllerId;
  /** The epoch under which the baselines were assigned. */
  readonly epoch: number;
  readonly heartbeats: readonly RelayedHeartbeat[];
}

/** Has a follower send commands to a worker that reports through it. */
export interface SendCommandsRequest {
  readonly type: 'sendCommands';
  readonly address: string;
  readonly fencingToken: number;
  readonly session: number;
  readonly timeoutMs: number;
  readonly commands: readonly Command[];
}

/** A user's request that the leader is to answer. */
export type UserPeerRequest =
  | { readonly type: 'submitJob'; readonly body: Buffer }
  | { readonly type: 'readJob'; readonly job: string }
  | { readonly type: 'cancelJob'; readonly job: string };

/** Everything that one controller asks of another. */
export type PeerRequest =
  | { readonly type: 'peerHeartbeat'; readonly status: PeerStatus }
  | { readonly type: 'imageHints'; readonly machines: readonly MachineImages[] }
  | { readonly type: 'jobNotice'; readonly job: string }
  | UserPeerRequest
  | WorkerHeartbeatsRequest
  | SendCommandsRequest;

/** How commands to a worker went. `unknown`: they may have been, or may yet be, carried out. */
export type CommandOutcome = 'answered' | 'undelivered' | 'unknown';

/** The response to `SendCommandsRequest`. */
export interface CommandResult {
  readonly type: 'commandResult';
  readonly outcome: CommandOutcome;
  /** What failed; empty if the worker answered. */
  readonly reason: string;
  /** The worker's status after the commands; null without a readable answer. */
  readonly heartbeat: Heartbeat | null;
}

/** The responses to a batch of heartbeats, in its order. */
export interface HeartbeatResponses {
  readonly type: 'heartbeatResponses';
  readonly epoch: number;
  readonly responses: readonly HeartbeatResponse[];
}

/** The answer to a user's request, to be passed on by the node that received it. */
export interface UserResponse {
  readonly type: 'userResponse';
  readonly status: number;
  /** Seconds after which the user should try again; 0: not stated. */
  readonly retryAfter: number;
  /** CBOR, as it is sent to the user. */
  readonly body: Buffer;
}

/** Every response of one controller to another. */
export type PeerResponse =
  | { readonly type: 'peerStatus'; readonly status: PeerStatus }
  | { readonly type: 'acknowledged'; readonly ok: boolean }
  | UserResponse
  | HeartbeatResponses
  | CommandResult;
