/** How the sockets that a controller may open are divided among their uses. */
import type { Settings } from './config/settings.js';
import { MAX_STORE_AND_CLOUD_SOCKETS } from './net/pooled-http-client.js';

/** The share of a controller's sockets for its requests to workers, including idle sockets. */
const COMMAND_SOCKET_SHARE = 0.12;
const MIN_COMMAND_SOCKETS = 4;
/** For each other controller: one in each direction, and one that is being reconnected. */
const SOCKETS_PER_PEER = 3;
/** The two listening sockets, and those that the process itself uses. */
const RESERVED_SOCKETS = 12;
const MIN_API_SOCKETS = 16;

/** The most sockets for each use. */
export interface SocketBudget {
  /** For commands to workers. */
  readonly commands: number;
  /** For the connections of users and workers to this controller. */
  readonly api: number;
}

/** Divides the connections that the platform allows a controller. */
export function socketBudget({ limits, otherControllers }: Settings): SocketBudget {
  const { maxConnections } = limits;
  const commands = Math.max(MIN_COMMAND_SOCKETS, Math.floor(maxConnections * COMMAND_SOCKET_SHARE));
  const outgoingAndReserved =
    commands +
    MAX_STORE_AND_CLOUD_SOCKETS +
    SOCKETS_PER_PEER * otherControllers.length +
    RESERVED_SOCKETS;
  return { commands, api: Math.max(MIN_API_SOCKETS, maxConnections - outgoingAndReserved) };
}
