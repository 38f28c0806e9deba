/** The server side of the connections between controllers. */
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
 * Creates a server, not yet listening, that handles the requests of peers. It closes a connection that carries an
 * unreadable message, for example from a controller of another version, and logs this once for each peer. Without a
 * connection, controllers cooperate through the store.
 */
export function createPeerServer(handle: PeerHandler, log: Logger): net.Server {
  const unreadablePeers = new Set<string>();
  const decode = (frame: Buffer, address: string): Envelope<PeerRequest> => {
    try {
      const envelope = decodeRequest(frame);
      unreadablePeers.delete(address);
      return envelope;
    } catch (error) {
      if (!unreadablePeers.has(address)) {
        log.warn(
          { from: address, err: error },
          'unreadable message from a peer; its connection is closed',
        );
      }
      unreadablePeers.add(address);
      throw error;
    }
  };
  return net.createServer({ noDelay: true }, (socket) => {
    const address = socket.remoteAddress ?? '';
    const frameEncoder = new FrameEncoder();
    const respond = async ({ id, message }: Envelope<PeerRequest>): Promise<void> => {
      const response = await handle(message);
      if (!frameEncoder.destroyed) frameEncoder.write(encodeResponse(id, response));
    };
    pipeline(frameEncoder, socket).catch(() => socket.destroy());
    pipeline(socket, new FrameDecoder(), async (frames: AsyncIterable<Buffer>) => {
      for await (const frame of frames) {
        // Requests are handled concurrently: a slow one must not delay the others.
        detach(respond(decode(frame, address)), log, "handling a peer's request");
      }
    }).catch((error: unknown) => {
      log.debug({ from: address, reason: messageOf(error) }, 'connection from a peer ended');
      socket.destroy();
    });
  });
}
