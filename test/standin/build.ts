/**
 * The interface between the simulated cluster and one version (build) of the service, so that several versions
 * can run side by side. Controllers exchange opaque frames, so the simulation doesn't depend on the message
 * format of any version.
 */
import type { Logger } from 'pino';
import type { ApiResponse } from '../../src/api/api-response.js';
import type { HttpClient } from '../../src/net/http.js';
import type { Clock, DurationMs, ControllerId, Random } from '../../src/units/index.js';

/** The connection of one controller to a peer. */
export interface PeerConnection {
  /** Whether the peer has responded recently. */
  readonly isResponsive: boolean;
  /**
   * Sends a request as a frame. Resolves with the response's frame as decoded by `read`, or with undefined if
   * no response arrives before the timeout.
   */
  exchange<Response>(
    frame: Buffer,
    timeout: DurationMs,
    read: (frame: Buffer) => Response,
  ): Promise<Response | undefined>;
}

/** What a controller gets from the simulated cluster. */
export interface ControllerEnvironment {
  readonly clock: Clock;
  readonly random: Random;
  readonly http: HttpClient;
  readonly log: Logger;
  readonly peers: ReadonlyMap<ControllerId, PeerConnection>;
  /** Unique among all processes that have run as this controller. */
  readonly processId: string;
}

/** A controller of any version. */
export interface RunningController {
  start(): void;
  /** Stops its timers and loops, as the end of its process would. */
  stop(): void;
  /** The response to a load balancer's probe. */
  health(): ApiResponse;
  /** Whether it is the leader now. */
  isLeader(): boolean;
  handleUserRequest(method: string, path: string, body: Buffer): Promise<ApiResponse>;
  handleHeartbeat(body: Buffer): Promise<ApiResponse>;
  /** Handles a peer's request. The body of the result is the frame of the response. */
  handlePeerFrame(frame: Buffer): Promise<ApiResponse>;
}

/** One version of the service. */
export interface Build {
  /** Creates a controller from its settings file without starting it. */
  createController(settingsFile: unknown, host: ControllerEnvironment): RunningController;
}
