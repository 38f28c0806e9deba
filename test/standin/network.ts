/**
 * The network between hosts: delays, cuts that hold messages back and deliver them late, lost requests and
 * answers. A message under way is delivered whatever becomes of its sender.
 */
import type { HttpClient, Outcome, Request } from '../../src/net/http.js';
import type { Random } from '../../src/units/index.js';
import { decode, encode } from '../../src/wire/index.js';
import type { ProcessClock, VirtualTime } from './clock.js';

/** The zone of all that belongs to none: users, the balancer, the cloud, the state service. */
export const NO_ZONE = '.region';

/** What a host answers to a request. */
export interface HostResponse {
  readonly status: number;
  readonly body?: unknown;
}

/** What a host does with a request; `from` names the sender. */
export type RequestHandler = (
  method: string,
  path: string,
  body: unknown,
  from: string,
) => HostResponse | Promise<HostResponse>;

interface Host {
  readonly zone: string;
  readonly handler: RequestHandler;
  /** A host that hangs neither answers nor refuses: what is sent to it waits until it goes on. */
  isHung: boolean;
}

/** One request under way. */
interface InFlightRequest {
  readonly from: string;
  readonly fromZone: string;
  readonly to: string;
  readonly request: Request;
  /** The body as it arrives. */
  readonly body: unknown;
  /** Ends it for its sender; only the first outcome counts. */
  readonly settle: (outcome: Outcome) => void;
}

/** Where the further copy of a request goes, and after how many milliseconds. */
export interface DuplicateDelivery {
  readonly to: string;
  readonly afterMs: number;
}

interface Isolation {
  readonly isCutFrom: (address: string) => boolean;
  /** Whether connections are refused, or else stay without an answer. */
  readonly isRefused: boolean;
}

/** The share of requests into a cut that find an open connection, and so are delivered after it. */
const OPEN_CONNECTION_SHARE = 0.6;

/** What arrives of a body: frames of bytes as they are, and all else by way of CBOR. */
function serializedCopy(body: unknown): unknown {
  if (body === undefined) return undefined;
  return Buffer.isBuffer(body) ? Buffer.from(body) : decode(encode(body));
}

const undelivered = (reason: string): Outcome => ({ kind: 'undelivered', reason });

const setMembership = (set: Set<string>, member: string, isIn: boolean): void => {
  if (isIn) set.add(member);
  else set.delete(member);
};

/** The network. */
export class Network {
  private readonly hosts = new Map<string, Host>();
  /** Pairs of zones, `from|to`. */
  private readonly partitions = new Set<string>();
  private heldRequests: { readonly call: InFlightRequest; readonly deliver: () => void }[] = [];
  private heldPath: string | undefined;
  private readonly hostsDroppingIncoming = new Set<string>();
  private readonly isolations = new Map<string, Isolation>();
  private readonly refusingAddresses = new Set<string>();

  /** The share of requests, and of answers, that are lost. */
  lossShare = 0;
  /** Which requests arrive a second time; undefined: this one does not. */
  duplicateDelivery: ((path: string, to: string) => DuplicateDelivery | undefined) | undefined;
  /** By how many milliseconds requests to an address, and their answers, take longer. */
  extraDelayMs: ((to: string) => number) | undefined;
  /** Requests that get no answer and arrive so many milliseconds late, after newer ones; undefined: not this one. */
  lateDeliveryMs: ((path: string) => number | undefined) | undefined;
  /** Requests that are carried out, but whose answer is lost. */
  losesResponse: ((path: string) => boolean) | undefined;
  /** Called before each request leaves; a test may end the sender here. */
  onSend: ((from: string, to: string, path: string) => void) | undefined;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
  ) {}

  attach(address: string, zone: string, handler: RequestHandler): void {
    this.hosts.set(address, { zone, handler, isHung: false });
  }

  detach(address: string): void {
    this.hosts.delete(address);
  }

  setHung(address: string, isHung: boolean): void {
    const host = this.hosts.get(address);
    if (host) host.isHung = isHung;
    if (!isHung) this.releaseHeldRequests();
  }

  /** Cuts two zones off from each other, in both directions. */
  setPartitioned(zone: string, other: string, isCut: boolean): void {
    for (const key of [`${zone}|${other}`, `${other}|${zone}`])
      setMembership(this.partitions, key, isCut);
    if (!isCut) this.releaseHeldRequests();
  }

  /** Drops all that is sent to a host, answers too, while what it sends arrives. */
  setIncomingDropped(host: string, isDropped: boolean): void {
    setMembership(this.hostsDroppingIncoming, host, isDropped);
  }

  /** Cuts a host off from some addresses. */
  isolate(host: string, isCutFrom: (address: string) => boolean, isRefused: boolean): void {
    this.isolations.set(host, { isCutFrom, isRefused });
  }

  /** Ends the isolation of a host. */
  reconnect(host: string): void {
    this.isolations.delete(host);
    this.releaseHeldRequests();
  }

  /** Refuses connections to an address, as a packet filter does. */
  setConnectionsRefused(address: string, isRefused: boolean): void {
    setMembership(this.refusingAddresses, address, isRefused);
  }

  /** Holds back requests to a path until it is called with another path or undefined. */
  holdRequests(path: string | undefined): void {
    this.heldPath = path;
    if (path === undefined) this.releaseHeldRequests();
  }

  /** A client for one process. No outcome comes back to a process that is dead. */
  client(from: string, zone: string, clock: ProcessClock): HttpClient {
    return {
      send: (request) =>
        new Promise((resolve) => {
          this.onSend?.(from, request.endpoint, request.path);
          if (clock.isDead) return;
          this.send(from, zone, request, (outcome) => clock.deliverEvent(() => resolve(outcome)));
        }),
    };
  }

  /** Sends a request. `resolve` is called once with its outcome, after the timeout at the latest. */
  send(from: string, zone: string, request: Request, resolve: (outcome: Outcome) => void): void {
    const to = request.endpoint;
    if (this.isRefused(from, to)) {
      this.time.after(1, () => resolve(undelivered('refused')));
      return;
    }
    // A new connection into a cut is not made; what goes over an open one is delivered after the cut.
    const isConnectionOpen = this.random() < OPEN_CONNECTION_SHARE;
    let isSettled = false;
    let wasSent = false;
    const settle = (outcome: Outcome): void => {
      if (isSettled) return;
      isSettled = true;
      timer.cancel();
      resolve(outcome);
    };
    const timer = this.time.after(request.timeout, () =>
      settle({ kind: wasSent ? 'unknown' : 'undelivered', reason: 'no answer in time' }),
    );
    if (this.isBlocked(from, zone, to) && !isConnectionOpen) return;
    wasSent = true;
    const body = serializedCopy(request.body);
    this.dispatch({ from, fromZone: zone, to, request, body, settle });
  }

  private dispatch(call: InFlightRequest): void {
    const { to, request } = call;
    if (this.random() < this.lossShare || this.hostsDroppingIncoming.has(to)) return;
    const lateness = this.lateDeliveryMs?.(request.path);
    if (lateness !== undefined) {
      this.time.after(lateness, () => void this.handle(call, to));
      return;
    }
    const deliver = (): void => this.deliverRequest(call);
    const delay = this.extraDelayMs?.(to) ?? 0;
    if (delay > 0) this.time.after(delay, () => this.forward(call, deliver));
    else if (request.path === this.heldPath) this.heldRequests.push({ call, deliver });
    else this.forward(call, deliver);
  }

  private forward(call: InFlightRequest, deliver: () => void): void {
    if (this.isBlocked(call.from, call.fromZone, call.to))
      this.heldRequests.push({ call, deliver });
    else this.time.after(1 + this.random() * 4, deliver);
  }

  /** Sends on what was held back; what is still blocked is held again. */
  private releaseHeldRequests(): void {
    const { heldRequests: held } = this;
    this.heldRequests = [];
    for (const { call, deliver } of held) this.forward(call, deliver);
  }

  /** The answer of the host at an address to a call; undefined if none is there. */
  private handle(
    { from, request, body }: InFlightRequest,
    address: string,
  ): Promise<HostResponse> | undefined {
    const handler = this.hosts.get(address)?.handler;
    return handler && Promise.resolve(handler(request.method, request.path, body, from));
  }

  private deliverRequest(call: InFlightRequest): void {
    const { from, to, request } = call;
    const duplicate = this.duplicateDelivery?.(request.path, to);
    if (duplicate) this.time.after(duplicate.afterMs, () => void this.handle(call, duplicate.to));
    const answered = this.handle(call, to);
    if (!answered) {
      call.settle(undelivered('refused'));
      return;
    }
    void answered.then((answer) => {
      if (this.random() < this.lossShare || this.hostsDroppingIncoming.has(from)) return;
      if (this.losesResponse?.(request.path)) return;
      this.sendResponse(call, answer);
    });
  }

  private sendResponse(call: InFlightRequest, { status, body }: HostResponse): void {
    const arrived = serializedCopy(body);
    const delay = 1 + this.random() * 4 + (this.extraDelayMs?.(call.to) ?? 0);
    this.time.after(delay, () => {
      // A cut blocks answers as well: the sender has given up long before it is over.
      if (this.isBlocked(call.from, call.fromZone, call.to)) return;
      call.settle({ kind: 'answer', status, body: arrived });
    });
  }

  private isBlocked(from: string, fromZone: string, to: string): boolean {
    if (this.isolations.get(from)?.isCutFrom(to)) return true;
    const host = this.hosts.get(to);
    return host !== undefined && (host.isHung || this.partitions.has(`${fromZone}|${host.zone}`));
  }

  private isRefused(from: string, to: string): boolean {
    const isolation = this.isolations.get(from);
    return (
      this.refusingAddresses.has(to) || (isolation?.isRefused === true && isolation.isCutFrom(to))
    );
  }
}
