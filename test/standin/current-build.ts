/** The version of the service in this repository, as a `Build`. */
import { defaultOperatorSettings } from '../../src/config/operator-settings.js';
import { parseSettings } from '../../src/config/settings.js';
import { Controller } from '../../src/controller.js';
import type { Peer } from '../../src/peer/peer.js';
import {
  decodeRequest,
  decodeResponse,
  encodeRequest,
  encodeResponse,
} from '../../src/peer/codec.js';
import type { ControllerId } from '../../src/units/index.js';
import type { Build, ControllerEnvironment, PeerConnection, RunningController } from './build.js';

/** Always the same, since each request has its own exchange and its response needs no matching by id. */
const REQUEST_ID = 1;

const createPeer = (connection: PeerConnection): Peer => ({
  get isResponsive() {
    return connection.isResponsive;
  },
  sendRequest: (request, timeout) =>
    connection.exchange(
      encodeRequest(REQUEST_ID, request),
      timeout,
      (frame) => decodeResponse(frame).message,
    ),
});

function createController(settingsFile: unknown, host: ControllerEnvironment): RunningController {
  const { peers, ...environment } = host;
  const controller = new Controller(parseSettings(settingsFile), defaultOperatorSettings, {
    ...environment,
    peers: new Map<ControllerId, Peer>(
      [...peers].map(([controllerId, peer]) => [controllerId, createPeer(peer)]),
    ),
  });
  return {
    start: () => controller.start(),
    stop: () => controller.stop(),
    health: () => controller.health(),
    isLeader: () => controller.election.authority() !== undefined,
    handleUserRequest: (method, path, body) =>
      controller.userRequestHandler.handle(method, path, body),
    handleHeartbeat: (body) => controller.workerHeartbeatHandler.handle(body),
    handlePeerFrame: async (frame) => {
      const { id, message } = decodeRequest(frame);
      const response = await controller.peerRequestHandler.handle(message);
      return { status: 200, body: encodeResponse(id, response) };
    },
  };
}

/** The version of the service in this repository. */
export const currentBuild: Build = { createController };
