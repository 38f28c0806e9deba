/** The channel between controllers, as its users see it. */
import type { DurationMs } from '../units/index.js';
import type { PeerRequest, PeerResponse } from './messages.js';

/** One node's way to another. */
export interface Peer {
  /** Whether it has answered recently; callers do not wait for a node that has not. */
  readonly isResponsive: boolean;
  /** The response; undefined if none came in time, in which case the request may have been, or may yet be, carried out. */
  sendRequest(request: PeerRequest, timeout: DurationMs): Promise<PeerResponse | undefined>;
}

/** Answers the requests of other nodes. */
export type PeerHandler = (request: PeerRequest) => Promise<PeerResponse>;
