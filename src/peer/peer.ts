/** The interface through which one controller sends requests to another. */
import type { DurationMs } from '../units/index.js';
import type { PeerRequest, PeerResponse } from './messages.js';

/** Another controller, as seen from this one. */
export interface Peer {
  /** Whether the peer is connected and has responded recently; callers do not wait for an unresponsive peer. */
  readonly isResponsive: boolean;
  /**
   * Sends a request and returns the response. Undefined means that none arrived in time: the request may have been, or
   * may still be, carried out.
   */
  sendRequest(request: PeerRequest, timeout: DurationMs): Promise<PeerResponse | undefined>;
}

/** Handles the requests of peers. */
export type PeerHandler = (request: PeerRequest) => Promise<PeerResponse>;
