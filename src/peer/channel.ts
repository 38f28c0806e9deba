import net from 'node:net';
import { pipeline } from 'node:stream/promises';
import type { Logger } from 'pino';
import { SteadyMs, later, ms, type Clock, type DurationMs, type Endpoint } from '../units/index.js';
import {
  Deframer,
  Framer,
  decodeAsk,
  decodeTold,
  encodeAsk,
  encodeTold,
  type Kind,
  type Told,
} from './frames.js';

export interface PeerRequest {
  readonly kind: Kind;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

export interface PeerReply {
  readonly status: number;
  readonly retryAfter: number;
  readonly body: Buffer;
}

/** One node's way to another. An answer of undefined says nothing about what was carried out. */
export interface Peer {
  /** Whether it answered lately; a node that does not is not waited for. */
  readonly responsive: boolean;
  ask(request: PeerRequest, timeout: DurationMs): Promise<PeerReply | undefined>;
}

export type PeerHandler = (request: PeerRequest) => Promise<PeerReply>;

const CONNECT_TIMEOUT = ms(700);
const RECONNECT = ms(500);

/** A kept connection to another node, dialled again when it breaks. */
export class PeerLink implements Peer {
  private socket: net.Socket | undefined;
  private framer: Framer | undefined;
  private connected = false;
  private nextId = 1;
  private readonly open = new Map<number, (t: Told | undefined) => void>();
  private suspect = true;
  private dialAgain = SteadyMs(0);
  private closed = false;

  constructor(
    private readonly endpoint: Endpoint,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  get responsive(): boolean {
    return this.connected && !this.suspect;
  }

  close(): void {
    this.closed = true;
    this.socket?.destroy();
  }

  private dial(): void {
    if (this.socket || this.closed || this.clock.steady() < this.dialAgain) return;
    const cut = this.endpoint.lastIndexOf(':');
    const socket = net.connect({
      host: this.endpoint.slice(0, cut),
      port: Number(this.endpoint.slice(cut + 1)),
      noDelay: true,
    });
    const framer = new Framer();
    this.socket = socket;
    this.framer = framer;
    const patience = this.clock.after(CONNECT_TIMEOUT, () => {
      if (!this.connected && this.socket === socket) this.drop('no connection in time');
    });
    socket.once('connect', () => {
      patience.cancel();
      if (this.socket === socket) this.connected = true;
    });
    const ended = (why: string): void => {
      patience.cancel();
      if (this.socket === socket) this.drop(why);
    };
    pipeline(framer, socket).catch((e: Error) => ended(e.message));
    pipeline(socket, new Deframer(), async (frames: AsyncIterable<Buffer>) => {
      for await (const frame of frames) {
        const told = decodeTold(frame);
        this.open.get(told.id)?.(told);
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
    this.suspect = true;
    this.dialAgain = later(this.clock.steady(), RECONNECT);
    socket?.destroy();
    for (const settle of [...this.open.values()]) settle(undefined);
  }

  async ask(request: PeerRequest, timeout: DurationMs): Promise<PeerReply | undefined> {
    this.dial();
    const framer = this.framer;
    if (!framer || this.closed) return undefined;
    const id = this.nextId;
    this.nextId = this.nextId >= 0x7fffffff ? 1 : this.nextId + 1;
    const told = await new Promise<Told | undefined>((resolve) => {
      const timer = this.clock.after(timeout, () => settle(undefined));
      const settle = (t: Told | undefined): void => {
        timer.cancel();
        this.open.delete(id);
        resolve(t);
      };
      this.open.set(id, settle);
      framer.write(encodeAsk({ id, ...request }));
    });
    this.suspect = told === undefined;
    // A node that does not even answer a ping is dialled anew: the connection may lead nowhere.
    if (!told && request.kind === 'ping' && this.framer === framer)
      this.drop('no answer to a ping');
    return told;
  }
}

/** Answers the other nodes. */
export function servePeers(handle: PeerHandler, log: Logger): net.Server {
  return net.createServer({ noDelay: true }, (socket) => {
    const framer = new Framer();
    pipeline(framer, socket).catch(() => socket.destroy());
    pipeline(socket, new Deframer(), async (frames: AsyncIterable<Buffer>) => {
      for await (const frame of frames) {
        const ask = decodeAsk(frame);
        // Answered as they come, not in turn: a slow one must not hold up the rest.
        void handle(ask)
          .then((reply) => {
            if (!framer.destroyed) framer.write(encodeTold({ id: ask.id, ...reply }));
          })
          .catch((e: unknown) => log.error({ err: e }, 'peer request failed'));
      }
    }).catch(() => socket.destroy());
  });
}
