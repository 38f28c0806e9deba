/** How the sockets that a node may open are divided. */
import type { Settings } from './config/settings.js';
import { MAX_STORE_AND_CLOUD_SOCKETS } from './net/pooled-http-client.js';

/** The share of a node's sockets that its own calls to workers may take, those that are kept included. */
const COMMAND_SHARE = 0.12;
const MIN_COMMAND_SOCKETS = 4;
/** For each other node, one each way and one that is being dialled anew. */
const SOCKETS_PER_PEER = 3;
/** The two that listen, and what the process itself holds. */
const SPARE_SOCKETS = 12;
const MIN_API_SOCKETS = 16;

/** The most sockets of each use. */
export interface SocketBudget {
  /** For commands to workers. */
  readonly commands: number;
  /** For the connections of users and workers to this node. */
  readonly api: number;
}

/** Divides the connections that the platform allows a node. */
export function socketBudget({ limits, otherControllers }: Settings): SocketBudget {
  const { maxConnections } = limits;
  const commands = Math.max(MIN_COMMAND_SOCKETS, Math.floor(maxConnections * COMMAND_SHARE));
  const own =
    commands +
    MAX_STORE_AND_CLOUD_SOCKETS +
    SOCKETS_PER_PEER * otherControllers.length +
    SPARE_SOCKETS;
  return { commands, api: Math.max(MIN_API_SOCKETS, maxConnections - own) };
}
