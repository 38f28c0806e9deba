/** The client side of the connections between controllers: one persistent connection to each peer. */
import net from 'node:net';
import { pipeline } from 'node:stream/promises';
import type { Logger } from 'pino';
import {
  SteadyMs,
  addDuration,
  ms,
  durationBetween,
  type Clock,
  type DurationMs,
  type Endpoint,
} from '../units/index.js';
import { errorMessage } from '../units/errors.js';
import type { Peer } from './peer.js';
import { decodeResponse, encodeRequest } from './codec.js';
import { FrameDecoder, FrameEncoder } from './framing.js';
import type { PeerRequest, PeerResponse } from './messages.js';

const CONNECT_TIMEOUT = ms(700);
const RECONNECT_DELAY = ms(500);
const MAX_REQUEST_ID = 0x7fffffff;
/**
 * A peer that has not responded to any request for this long counts as unresponsive. A peer under high load only
 * responds late: bypassing it would move its work to controllers that can't do it, and delay the work further.
 */
const UNRESPONSIVE_AFTER = ms(2500);

type CompleteRequest = (response: PeerResponse | undefined) => void;

/** A persistent connection to a peer. A request opens it if it is not open, at most once per `RECONNECT_DELAY`. */
export class PeerClient implements Peer {
  private socket: net.Socket | undefined;
  private frameEncoder: FrameEncoder | undefined;
  private isConnected = false;
  private nextRequestId = 1;
  private readonly pendingRequests = new Map<number, CompleteRequest>();
  /** Since when requests have been pending without any response. */
  private waitingSince: SteadyMs | undefined;
  private reconnectAt = SteadyMs(0);
  private isClosed = false;

  constructor(
    private readonly endpoint: Endpoint,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  get isResponsive(): boolean {
    return this.isConnected && !this.isResponseOverdue;
  }

  private get isResponseOverdue(): boolean {
    const { waitingSince } = this;
    const now = this.clock.steady();
    return waitingSince !== undefined && durationBetween(waitingSince, now) > UNRESPONSIVE_AFTER;
  }

  /** Closes the connection for good; pending requests get no response. */
  close(): void {
    this.isClosed = true;
    this.socket?.destroy();
  }

  async sendRequest(request: PeerRequest, timeout: DurationMs): Promise<PeerResponse | undefined> {
    this.connect();
    const frameEncoder = this.frameEncoder;
    if (!frameEncoder || this.isClosed) return undefined;
    const id = this.nextRequestId;
    this.nextRequestId = id >= MAX_REQUEST_ID ? 1 : id + 1;
    const response = await new Promise<PeerResponse | undefined>((resolve) => {
      const timer = this.clock.after(timeout, () => complete(undefined));
      const complete: CompleteRequest = (received) => {
        timer.cancel();
        this.pendingRequests.delete(id);
        resolve(received);
      };
      this.pendingRequests.set(id, complete);
      this.waitingSince ??= this.clock.steady();
      frameEncoder.write(encodeRequest(id, request));
    });
    // The connection may have failed without having been closed.
    if (!response && this.frameEncoder === frameEncoder && this.isResponseOverdue)
      this.dropConnection('no response to any request in time');
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
    const frameEncoder = new FrameEncoder();
    this.socket = socket;
    this.frameEncoder = frameEncoder;
    const timer = this.clock.after(CONNECT_TIMEOUT, () => {
      if (!this.isConnected && this.socket === socket)
        this.dropConnection('timeout while connecting');
    });
    socket.once('connect', () => {
      timer.cancel();
      if (this.socket === socket) this.isConnected = true;
    });
    const onEnded = (reason: string): void => {
      timer.cancel();
      if (this.socket === socket) this.dropConnection(reason);
    };
    pipeline(frameEncoder, socket).catch((error: unknown) => onEnded(errorMessage(error)));
    this.receive(socket).then(
      () => onEnded('closed by the peer'),
      (error: unknown) => onEnded(errorMessage(error)),
    );
  }

  /** Passes each response to its pending request until the connection ends. */
  private receive(socket: net.Socket): Promise<void> {
    return pipeline(socket, new FrameDecoder(), async (frames: AsyncIterable<Buffer>) => {
      for await (const frame of frames) {
        const { id, message } = decodeResponse(frame);
        this.waitingSince = undefined;
        this.pendingRequests.get(id)?.(message);
      }
    });
  }

  /** Drops the connection; pending requests get no response. */
  private dropConnection(reason: string): void {
    this.log.debug(
      { peer: this.endpoint, reason },
      'connection to a peer ended; pending requests get no response',
    );
    const { socket } = this;
    this.socket = undefined;
    this.frameEncoder = undefined;
    this.isConnected = false;
    this.waitingSince = undefined;
    this.reconnectAt = addDuration(this.clock.steady(), RECONNECT_DELAY);
    socket?.destroy();
    for (const complete of [...this.pendingRequests.values()]) complete(undefined);
  }
}
