/**
 * What a world needs of a version of the service, so that several versions can run side by side. Controllers
 * exchange frames: bytes that only they read, so that a version's messages stay its own affair.
 */
import type { Logger } from 'pino';
import type { Reply } from '../../src/api/reply.js';
import type { HttpClient } from '../../src/net/http.js';
import type { Clock, DurationMs, NodeId, Random } from '../../src/units/index.js';

/** The connection of one controller to another. */
export interface PeerConnection {
  /** Whether the other side answered lately. */
  readonly isResponsive: boolean;
  /**
   * Sends a request as a frame. Resolves with what `read` makes of the response's frame, or undefined if none
   * came in time.
   */
  exchange<Response>(
    frame: Buffer,
    timeout: DurationMs,
    read: (frame: Buffer) => Response,
  ): Promise<Response | undefined>;
}

/** What surrounds a controller. */
export interface ControllerEnvironment {
  readonly clock: Clock;
  readonly random: Random;
  readonly http: HttpClient;
  readonly log: Logger;
  readonly peers: ReadonlyMap<NodeId, PeerConnection>;
  /** Names this process among those that have run on its node. */
  readonly processId: string;
}

/** One controller, of whatever version. */
export interface RunningController {
  start(): void;
  /** Ends its timers and loops, as the end of its process would. */
  stop(): void;
  /** The answer to a load balancer's probe. */
  health(): Reply;
  /** Whether it leads at this moment. */
  isLeader(): boolean;
  handleUserRequest(method: string, path: string, body: Buffer): Promise<Reply>;
  handleHeartbeat(body: Buffer): Promise<Reply>;
  /** Handles a peer's request. The body of the reply is the frame of the response. */
  handlePeerFrame(frame: Buffer): Promise<Reply>;
}

/** A version of the service. */
export interface Build {
  /** Makes a controller, not started yet, by the settings file of its node. */
  createController(settingsFile: unknown, host: ControllerEnvironment): RunningController;
}
