/** The connections between controllers: one kept open to each other node, and the server side. */
import net from 'node:net';
import { pipeline } from 'node:stream/promises';
import type { Logger } from 'pino';
import {
  SteadyMs,
  later,
  ms,
  since,
  type Clock,
  type DurationMs,
  type Endpoint,
} from '../units/index.js';
import { Deframer, Framer } from './framing.js';
import {
  decodeRequest,
  decodeResponse,
  encodeRequest,
  encodeResponse,
  type Envelope,
} from './codec.js';
import type { PeerRequest, PeerResponse } from './messages.js';

/** One node's way to another. A response of undefined says nothing about what was carried out. */
export interface Peer {
  /** Whether it answered lately; a node that does not is not waited for. */
  readonly responsive: boolean;
  request(request: PeerRequest, timeout: DurationMs): Promise<PeerResponse | undefined>;
}

export type PeerHandler = (request: PeerRequest) => Promise<PeerResponse>;

const CONNECT_TIMEOUT = ms(700);
const RECONNECT_PAUSE = ms(500);
const MAX_REQUEST_ID = 0x7fffffff;
/**
 * A node that has left everything unanswered for this long counts as gone. One that only has much to do
 * answers late: to pass it by would put its work on nodes that can't do it, and make it later still.
 */
const UNRESPONSIVE_AFTER = ms(2500);

/** A kept connection to another node, dialled again when it breaks. */
export class PeerLink implements Peer {
  private socket: net.Socket | undefined;
  private framer: Framer | undefined;
  private connected = false;
  private nextId = 1;
  private readonly pending = new Map<number, (response: PeerResponse | undefined) => void>();
  /** Since when the other side has answered nothing though something was asked. */
  private silentSince: SteadyMs | undefined;
  private dialAgainAt = SteadyMs(0);
  private closed = false;

  constructor(
    private readonly endpoint: Endpoint,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  get responsive(): boolean {
    return this.connected && !this.isSilent;
  }

  private get isSilent(): boolean {
    const { silentSince } = this;
    const now = this.clock.steady();
    return silentSince !== undefined && since(silentSince, now) > UNRESPONSIVE_AFTER;
  }

  close(): void {
    this.closed = true;
    this.socket?.destroy();
  }

  private dial(): void {
    if (this.socket || this.closed || this.clock.steady() < this.dialAgainAt) return;
    const colon = this.endpoint.lastIndexOf(':');
    const socket = net.connect({
      host: this.endpoint.slice(0, colon),
      port: Number(this.endpoint.slice(colon + 1)),
      noDelay: true,
    });
    const framer = new Framer();
    this.socket = socket;
    this.framer = framer;
    const connectTimer = this.clock.after(CONNECT_TIMEOUT, () => {
      if (!this.connected && this.socket === socket) this.drop('no connection in time');
    });
    socket.once('connect', () => {
      connectTimer.cancel();
      if (this.socket === socket) this.connected = true;
    });
    const ended = (why: string): void => {
      connectTimer.cancel();
      if (this.socket === socket) this.drop(why);
    };
    pipeline(framer, socket).catch((e: Error) => ended(e.message));
    pipeline(socket, new Deframer(), async (frames: AsyncIterable<Buffer>) => {
      for await (const frame of frames) {
        const { id, message } = decodeResponse(frame);
        this.silentSince = undefined;
        this.pending.get(id)?.(message);
      }
    }).then(
      () => ended('closed by the other side'),
      (e: Error) => ended(e.message),
    );
  }

  private drop(why: string): void {
    this.log.debug({ peer: this.endpoint, why }, 'peer connection ended');
    const socket = this.socket;
    this.socket = undefined;
    this.framer = undefined;
    this.connected = false;
    this.silentSince = undefined;
    this.dialAgainAt = later(this.clock.steady(), RECONNECT_PAUSE);
    socket?.destroy();
    for (const settle of [...this.pending.values()]) settle(undefined);
  }

  async request(request: PeerRequest, timeout: DurationMs): Promise<PeerResponse | undefined> {
    this.dial();
    const framer = this.framer;
    if (!framer || this.closed) return undefined;
    const id = this.nextId;
    this.nextId = id >= MAX_REQUEST_ID ? 1 : id + 1;
    const response = await new Promise<PeerResponse | undefined>((resolve) => {
      const timer = this.clock.after(timeout, () => settle(undefined));
      const settle = (r: PeerResponse | undefined): void => {
        timer.cancel();
        this.pending.delete(id);
        resolve(r);
      };
      this.pending.set(id, settle);
      this.silentSince ??= this.clock.steady();
      framer.write(encodeRequest(id, request));
    });
    // The connection may lead nowhere.
    if (!response && this.framer === framer && this.isSilent) this.drop('no answers');
    return response;
  }
}

/**
 * Answers the other nodes. A connection that carries anything unreadable, as from a node of another version,
 * is closed, and said so once for each node: without a link the nodes work together through the store.
 */
export function servePeers(handle: PeerHandler, log: Logger): net.Server {
  const unreadableFrom = new Set<string>();
  const decode = (frame: Buffer, from: string): Envelope<PeerRequest> => {
    try {
      const envelope = decodeRequest(frame);
      unreadableFrom.delete(from);
      return envelope;
    } catch (e) {
      if (!unreadableFrom.has(from)) log.warn({ from, err: e }, 'unreadable message from a peer');
      unreadableFrom.add(from);
      throw e;
    }
  };
  return net.createServer({ noDelay: true }, (socket) => {
    const from = socket.remoteAddress ?? '';
    const framer = new Framer();
    pipeline(framer, socket).catch(() => socket.destroy());
    pipeline(socket, new Deframer(), async (frames: AsyncIterable<Buffer>) => {
      for await (const frame of frames) {
        const { id, message } = decode(frame, from);
        // Answered as they come, not in turn: a slow one must not hold up the rest.
        void handle(message)
          .then((response) => {
            if (!framer.destroyed) framer.write(encodeResponse(id, response));
          })
          .catch((e: unknown) => log.error({ err: e }, 'peer request failed'));
      }
    }).catch((e: Error) => {
      log.debug({ from, why: e.message }, 'connection of a peer ended');
      socket.destroy();
    });
  });
}
