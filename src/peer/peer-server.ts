/** The server side of the channel between controllers. */
import net from 'node:net';
import { pipeline } from 'node:stream/promises';
import type { Logger } from 'pino';
import { detach } from '../units/detach.js';
import { messageOf } from '../units/errors.js';
import type { PeerHandler } from './peer.js';
import { decodeRequest, encodeResponse, type Envelope } from './codec.js';
import { FrameDecoder, FrameEncoder } from './framing.js';
import type { PeerRequest } from './messages.js';

/**
 * A server, not yet listening, that answers the other nodes. A connection that carries anything unreadable, as
 * from a node of another version, is closed, and logged once for each node: without a link the nodes work
 * together through the store.
 */
export function createPeerServer(handle: PeerHandler, log: Logger): net.Server {
  const unreadablePeers = new Set<string>();
  const decode = (frame: Buffer, from: string): Envelope<PeerRequest> => {
    try {
      const envelope = decodeRequest(frame);
      unreadablePeers.delete(from);
      return envelope;
    } catch (error) {
      if (!unreadablePeers.has(from)) {
        log.warn({ from, err: error }, 'unreadable message from a peer');
      }
      unreadablePeers.add(from);
      throw error;
    }
  };
  return net.createServer({ noDelay: true }, (socket) => {
    const from = socket.remoteAddress ?? '';
    const framer = new FrameEncoder();
    const respond = async ({ id, message }: Envelope<PeerRequest>): Promise<void> => {
      const response = await handle(message);
      if (!framer.destroyed) framer.write(encodeResponse(id, response));
    };
    pipeline(framer, socket).catch(() => socket.destroy());
    pipeline(socket, new FrameDecoder(), async (frames: AsyncIterable<Buffer>) => {
      for await (const frame of frames) {
        // Answered as they arrive, not in turn: a slow request must not delay the others.
        detach(respond(decode(frame, from)), log, 'peer request');
      }
    }).catch((error: unknown) => {
      log.debug({ from, reason: messageOf(error) }, 'connection of a peer ended');
      socket.destroy();
    });
  });
}
