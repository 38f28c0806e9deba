/** The client side of the channel between controllers: one kept connection to each other node. */
import net from 'node:net';
import { pipeline } from 'node:stream/promises';
import type { Logger } from 'pino';
import {
  SteadyMs,
  later,
  ms,
  durationBetween,
  type Clock,
  type DurationMs,
  type Endpoint,
} from '../units/index.js';
import { messageOf } from '../units/errors.js';
import type { Peer } from './peer.js';
import { decodeResponse, encodeRequest } from './codec.js';
import { FrameDecoder, FrameEncoder } from './framing.js';
import type { PeerRequest, PeerResponse } from './messages.js';

const CONNECT_TIMEOUT = ms(700);
const RECONNECT_PAUSE = ms(500);
const MAX_REQUEST_ID = 0x7fffffff;
/**
 * A node that has left everything unanswered for this long counts as unreachable. One that only has much to do
 * answers late: passing it over would put its work on nodes that can't do it, and make it later still.
 */
const UNRESPONSIVE_AFTER = ms(2500);

type Settle = (response: PeerResponse | undefined) => void;

/** A kept connection to another node. It is opened by the first request, and again by the next after it has ended. */
export class PeerClient implements Peer {
  private socket: net.Socket | undefined;
  private framer: FrameEncoder | undefined;
  private isConnected = false;
  private nextId = 1;
  private readonly pending = new Map<number, Settle>();
  /** Since when requests have been waiting without any response. */
  private silentSince: SteadyMs | undefined;
  private reconnectAt = SteadyMs(0);
  private isClosed = false;

  constructor(
    private readonly endpoint: Endpoint,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  get isResponsive(): boolean {
    return this.isConnected && !this.isSilent;
  }

  private get isSilent(): boolean {
    const { silentSince } = this;
    const now = this.clock.steady();
    return silentSince !== undefined && durationBetween(silentSince, now) > UNRESPONSIVE_AFTER;
  }

  /** Ends the connection for good; what is pending gets no response. */
  close(): void {
    this.isClosed = true;
    this.socket?.destroy();
  }

  async sendRequest(request: PeerRequest, timeout: DurationMs): Promise<PeerResponse | undefined> {
    this.connect();
    const framer = this.framer;
    if (!framer || this.isClosed) return undefined;
    const id = this.nextId;
    this.nextId = id >= MAX_REQUEST_ID ? 1 : id + 1;
    const response = await new Promise<PeerResponse | undefined>((resolve) => {
      const timer = this.clock.after(timeout, () => settle(undefined));
      const settle: Settle = (received) => {
        timer.cancel();
        this.pending.delete(id);
        resolve(received);
      };
      this.pending.set(id, settle);
      this.silentSince ??= this.clock.steady();
      framer.write(encodeRequest(id, request));
    });
    // The connection may be dead without having been closed.
    if (!response && this.framer === framer && this.isSilent) this.drop('no answers');
    return response;
  }

  private connect(): void {
    if (this.socket || this.isClosed || this.clock.steady() < this.reconnectAt) return;
    const colon = this.endpoint.lastIndexOf(':');
    const socket = net.connect({
      host: this.endpoint.slice(0, colon),
      port: Number(this.endpoint.slice(colon + 1)),
      noDelay: true,
    });
    const framer = new FrameEncoder();
    this.socket = socket;
    this.framer = framer;
    const timer = this.clock.after(CONNECT_TIMEOUT, () => {
      if (!this.isConnected && this.socket === socket) this.drop('no connection in time');
    });
    socket.once('connect', () => {
      timer.cancel();
      if (this.socket === socket) this.isConnected = true;
    });
    const onEnded = (reason: string): void => {
      timer.cancel();
      if (this.socket === socket) this.drop(reason);
    };
    pipeline(framer, socket).catch((error: unknown) => onEnded(messageOf(error)));
    this.receive(socket).then(
      () => onEnded('closed by the other side'),
      (error: unknown) => onEnded(messageOf(error)),
    );
  }

  /** Passes each response to its request until the connection ends. */
  private receive(socket: net.Socket): Promise<void> {
    return pipeline(socket, new FrameDecoder(), async (frames: AsyncIterable<Buffer>) => {
      for await (const frame of frames) {
        const { id, message } = decodeResponse(frame);
        this.silentSince = undefined;
        this.pending.get(id)?.(message);
      }
    });
  }

  /** Gives the connection up; what is pending gets no response. */
  private drop(reason: string): void {
    this.log.debug({ peer: this.endpoint, reason }, 'peer connection ended');
    const { socket } = this;
    this.socket = undefined;
    this.framer = undefined;
    this.isConnected = false;
    this.silentSince = undefined;
    this.reconnectAt = later(this.clock.steady(), RECONNECT_PAUSE);
    socket?.destroy();
    for (const settle of [...this.pending.values()]) settle(undefined);
  }
}
