/**
 * The network between hosts: delays, cuts that hold messages back and deliver them late, lost requests and
 * answers. A message under way is delivered whatever becomes of its sender.
 */
import type { HttpClient, HttpOutcome, HttpRequest } from '../../src/net/http.js';
import type { Random } from '../../src/units/index.js';
import { decode, encode } from '../../src/wire/index.js';
import type { ProcessClock, VirtualTime } from './clock.js';

/** The zone of all that belongs to none: users, the balancer, the cloud, the state service. */
export const REGION = '.region';

/** What a host answers to a request. */
export interface Answer {
  readonly status: number;
  readonly body?: unknown;
}

/** What a host does with a request; `from` names the sender. */
export type Handler = (
  method: string,
  path: string,
  body: unknown,
  from: string,
) => Answer | Promise<Answer>;

interface Host {
  readonly zone: string;
  readonly handler: Handler;
  /** A host that hangs neither answers nor refuses: what is sent to it waits until it goes on. */
  isHung: boolean;
}

/** One request under way. */
interface Call {
  readonly from: string;
  readonly fromZone: string;
  readonly to: string;
  readonly request: HttpRequest;
  /** The body as it arrives. */
  readonly body: unknown;
  /** Ends it for its sender; only the first outcome counts. */
  readonly settle: (outcome: HttpOutcome) => void;
}

/** Where the further copy of a request goes, and after how many milliseconds. */
export interface Duplicate {
  readonly to: string;
  readonly after: number;
}

interface Isolation {
  readonly isCutFrom: (address: string) => boolean;
  /** Whether connections are refused, or else stay without an answer. */
  readonly isRefused: boolean;
}

/** The share of requests into a cut that find an open connection, and so are delivered after it. */
const OPEN_CONNECTION_SHARE = 0.6;

/** What arrives of a body: frames of bytes as they are, and all else by way of CBOR. */
function transmitted(body: unknown): unknown {
  if (body === undefined) return undefined;
  return Buffer.isBuffer(body) ? Buffer.from(body) : decode(encode(body));
}

const undelivered = (reason: string): HttpOutcome => ({ kind: 'undelivered', reason });

const setMember = (set: Set<string>, member: string, isIn: boolean): void => {
  if (isIn) set.add(member);
  else set.delete(member);
};

/** The network. */
export class Network {
  private readonly hosts = new Map<string, Host>();
  /** Pairs of zones, `from|to`. */
  private readonly cuts = new Set<string>();
  private held: { readonly call: Call; readonly deliver: () => void }[] = [];
  private heldPath: string | undefined;
  private readonly droppingIncoming = new Set<string>();
  private readonly isolations = new Map<string, Isolation>();
  private readonly refusing = new Set<string>();

  /** The share of requests, and of answers, that are lost. */
  lossShare = 0;
  /** Which requests arrive a second time; undefined: this one does not. */
  duplicate: ((path: string, to: string) => Duplicate | undefined) | undefined;
  /** By how many milliseconds requests to an address, and their answers, take longer. */
  extraDelay: ((to: string) => number) | undefined;
  /** Requests that get no answer and arrive so many milliseconds late, after newer ones; undefined: not this one. */
  lateDelivery: ((path: string) => number | undefined) | undefined;
  /** Requests that are carried out, but whose answer is lost. */
  losesAnswer: ((path: string) => boolean) | undefined;
  /** Called before each request leaves; a test may end the sender here. */
  onSend: ((from: string, to: string, path: string) => void) | undefined;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
  ) {}

  attach(address: string, zone: string, handler: Handler): void {
    this.hosts.set(address, { zone, handler, isHung: false });
  }

  detach(address: string): void {
    this.hosts.delete(address);
  }

  hang(address: string, isHung: boolean): void {
    const host = this.hosts.get(address);
    if (host) host.isHung = isHung;
    if (!isHung) this.release();
  }

  /** Cuts two zones off from each other, in both directions. */
  cut(zone: string, other: string, isCut: boolean): void {
    for (const key of [`${zone}|${other}`, `${other}|${zone}`]) setMember(this.cuts, key, isCut);
    if (!isCut) this.release();
  }

  /** Drops all that is sent to a host, answers too, while what it sends arrives. */
  dropIncoming(host: string, isDropped: boolean): void {
    setMember(this.droppingIncoming, host, isDropped);
  }

  /** Cuts a host off from some addresses. */
  isolate(host: string, isCutFrom: (address: string) => boolean, isRefused: boolean): void {
    this.isolations.set(host, { isCutFrom, isRefused });
  }

  /** Ends the isolation of a host. */
  reconnect(host: string): void {
    this.isolations.delete(host);
    this.release();
  }

  /** Refuses connections to an address, as a packet filter does. */
  refuseConnections(address: string, isRefused: boolean): void {
    setMember(this.refusing, address, isRefused);
  }

  /** Holds back requests to a path until it is called with another path or undefined. */
  hold(path: string | undefined): void {
    this.heldPath = path;
    if (path === undefined) this.release();
  }

  /** A client for one process. No outcome comes back to a process that is dead. */
  client(from: string, zone: string, clock: ProcessClock): HttpClient {
    return {
      send: (request) =>
        new Promise((resolve) => {
          this.onSend?.(from, request.endpoint, request.path);
          if (clock.isDead) return;
          this.send(from, zone, request, (outcome) => clock.deliver(() => resolve(outcome)));
        }),
    };
  }

  /** Sends a request. `resolve` is called once with its outcome, after the timeout at the latest. */
  send(
    from: string,
    zone: string,
    request: HttpRequest,
    resolve: (outcome: HttpOutcome) => void,
  ): void {
    const to = request.endpoint;
    if (this.isRefused(from, to)) {
      this.time.after(1, () => resolve(undelivered('refused')));
      return;
    }
    // A new connection into a cut is not made; what goes over an open one is delivered after the cut.
    const isConnectionOpen = this.random() < OPEN_CONNECTION_SHARE;
    let isSettled = false;
    let wasSent = false;
    const settle = (outcome: HttpOutcome): void => {
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
    const body = transmitted(request.body);
    this.dispatch({ from, fromZone: zone, to, request, body, settle });
  }

  private dispatch(call: Call): void {
    const { to, request } = call;
    if (this.random() < this.lossShare || this.droppingIncoming.has(to)) return;
    const lateness = this.lateDelivery?.(request.path);
    if (lateness !== undefined) {
      this.time.after(lateness, () => void this.handle(call, to));
      return;
    }
    const deliver = (): void => this.arrive(call);
    const delay = this.extraDelay?.(to) ?? 0;
    if (delay > 0) this.time.after(delay, () => this.forward(call, deliver));
    else if (request.path === this.heldPath) this.held.push({ call, deliver });
    else this.forward(call, deliver);
  }

  private forward(call: Call, deliver: () => void): void {
    if (this.isBlocked(call.from, call.fromZone, call.to)) this.held.push({ call, deliver });
    else this.time.after(1 + this.random() * 4, deliver);
  }

  /** Sends on what was held back; what is still blocked is held again. */
  private release(): void {
    const { held } = this;
    this.held = [];
    for (const { call, deliver } of held) this.forward(call, deliver);
  }

  /** The answer of the host at an address to a call; undefined if none is there. */
  private handle({ from, request, body }: Call, address: string): Promise<Answer> | undefined {
    const handler = this.hosts.get(address)?.handler;
    return handler && Promise.resolve(handler(request.method, request.path, body, from));
  }

  private arrive(call: Call): void {
    const { from, to, request } = call;
    const duplicate = this.duplicate?.(request.path, to);
    if (duplicate) this.time.after(duplicate.after, () => void this.handle(call, duplicate.to));
    const answered = this.handle(call, to);
    if (!answered) {
      call.settle(undelivered('refused'));
      return;
    }
    void answered.then((answer) => {
      if (this.random() < this.lossShare || this.droppingIncoming.has(from)) return;
      if (this.losesAnswer?.(request.path)) return;
      this.sendBack(call, answer);
    });
  }

  private sendBack(call: Call, { status, body }: Answer): void {
    const arrived = transmitted(body);
    const delay = 1 + this.random() * 4 + (this.extraDelay?.(call.to) ?? 0);
    this.time.after(delay, () => {
      // A cut blocks answers as well: the sender has given up long before it is over.
      if (this.isBlocked(call.from, call.fromZone, call.to)) return;
      call.settle({ kind: 'response', status, body: arrived });
    });
  }

  private isBlocked(from: string, fromZone: string, to: string): boolean {
    if (this.isolations.get(from)?.isCutFrom(to)) return true;
    const host = this.hosts.get(to);
    return host !== undefined && (host.isHung || this.cuts.has(`${fromZone}|${host.zone}`));
  }

  private isRefused(from: string, to: string): boolean {
    const isolation = this.isolations.get(from);
    return this.refusing.has(to) || (isolation?.isRefused === true && isolation.isCutFrom(to));
  }
}
