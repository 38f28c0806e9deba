/**
 * A simulated network: delays, partitions that hold requests back and deliver them late, lost requests and lost
 * responses. A request in flight is delivered even if its sender dies meanwhile.
 */
import type { HttpClient, HttpOutcome, HttpRequest } from '../../src/net/http.js';
import type { Random } from '../../src/units/index.js';
import { decode, encode } from '../../src/wire/index.js';
import type { ProcessClock, VirtualTime } from './clock.js';

/** The zone of hosts outside all zones: users, the load balancer, the cloud, the store. */
export const NO_ZONE = '.region';

/** A host's response to a request. */
export interface HostResponse {
  readonly status: number;
  readonly body?: unknown;
}

/** Handles the requests to a host; `from` names the sender. */
export type RequestHandler = (
  method: string,
  path: string,
  body: unknown,
  from: string,
) => HostResponse | Promise<HostResponse>;

interface Host {
  readonly zone: string;
  readonly handler: RequestHandler;
  /** A hung host neither responds nor refuses connections: requests to it wait until it resumes. */
  isHung: boolean;
}

/** A request that was sent and has no outcome yet. */
interface InFlightRequest {
  readonly from: string;
  readonly fromZone: string;
  readonly to: string;
  readonly request: HttpRequest;
  /** The body as the receiver decodes it. */
  readonly body: unknown;
  /** Passes the outcome to the sender; only the first one counts. */
  readonly settle: (outcome: HttpOutcome) => void;
}

/** Where and after which delay a copy of a request arrives. */
export interface DuplicateDelivery {
  readonly to: string;
  readonly afterMs: number;
}

interface Isolation {
  readonly isUnreachable: (address: string) => boolean;
  /** Whether connections to these addresses are refused; otherwise they time out. */
  readonly isRefusing: boolean;
}

/** The share of requests across a partition that use an open connection, and so are delivered once it heals. */
const OPEN_CONNECTION_SHARE = 0.6;

/** The body as it arrives: a copy of a buffer, and anything else encoded to CBOR and decoded again. */
function serializedCopy(body: unknown): unknown {
  if (body === undefined) return undefined;
  return Buffer.isBuffer(body) ? Buffer.from(body) : decode(encode(body));
}

const undelivered = (reason: string): HttpOutcome => ({ kind: 'undelivered', reason });

const setMembership = (set: Set<string>, member: string, isMember: boolean): void => {
  if (isMember) set.add(member);
  else set.delete(member);
};

/** The simulated network between all hosts. */
export class Network {
  private readonly hosts = new Map<string, Host>();
  /** The partitioned pairs of zones, as `from|to`. */
  private readonly partitions = new Set<string>();
  private heldRequests: { readonly inFlight: InFlightRequest; readonly deliver: () => void }[] = [];
  private heldRequestPath: string | undefined;
  private readonly hostsDroppingIncoming = new Set<string>();
  private readonly isolations = new Map<string, Isolation>();
  private readonly refusing = new Set<string>();

  /** The share of requests, and of responses, that are lost. */
  lossShare = 0;
  /** Returns the second delivery of a request, or undefined if it arrives only once. */
  duplicateDelivery: ((path: string, to: string) => DuplicateDelivery | undefined) | undefined;
  /** Returns the extra delay of a request to an address, and of its response. */
  extraDelayMs: ((to: string) => number) | undefined;
  /** Returns the extra delay of a response from an address, `to`, to the host that sent the request. */
  extraResponseDelayMs: ((from: string, to: string) => number) | undefined;
  /**
   * Returns the delay of a request that arrives late, after newer ones, and gets no response; undefined for a
   * request that is delivered normally.
   */
  lateDeliveryMs: ((path: string) => number | undefined) | undefined;
  /** Returns whether the response to a request is lost although the request is carried out. */
  losesResponse: ((path: string) => boolean) | undefined;
  /** Called before each request is sent; a test may kill the sender here. */
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

  /** Partitions two zones from each other in both directions, or heals the partition. */
  setPartitioned(zone: string, other: string, isPartitioned: boolean): void {
    for (const key of [`${zone}|${other}`, `${other}|${zone}`])
      setMembership(this.partitions, key, isPartitioned);
    if (!isPartitioned) this.releaseHeldRequests();
  }

  /** Drops all requests and responses to a host, while what it sends arrives. */
  setIncomingDropped(host: string, isDropped: boolean): void {
    setMembership(this.hostsDroppingIncoming, host, isDropped);
  }

  /** Cuts a host off from the addresses for which `isUnreachable` is true. */
  isolate(
    host: string,
    isUnreachable: (address: string) => boolean,
    refusesConnections: boolean,
  ): void {
    this.isolations.set(host, { isUnreachable, isRefusing: refusesConnections });
  }

  /** Ends the isolation of a host. */
  reconnect(host: string): void {
    this.isolations.delete(host);
    this.releaseHeldRequests();
  }

  /** Refuses connections to an address, as a packet filter does. */
  setConnectionsRefused(address: string, isRefused: boolean): void {
    setMembership(this.refusing, address, isRefused);
  }

  /** Holds back requests to a path, until it is called with another path, or with undefined to release them. */
  holdRequests(path: string | undefined): void {
    this.heldRequestPath = path;
    if (path === undefined) this.releaseHeldRequests();
  }

  /** Creates the HTTP client of one process. A dead process gets no outcomes. */
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

  /** Sends a request. Calls `resolve` once with its outcome, after the timeout at the latest. */
  send(
    from: string,
    zone: string,
    request: HttpRequest,
    resolve: (outcome: HttpOutcome) => void,
  ): void {
    const to = request.endpoint;
    if (this.isConnectionRefused(from, to)) {
      this.time.after(1, () => resolve(undelivered('refused')));
      return;
    }
    // Across a partition no new connection is made; requests over an open one arrive once the partition heals.
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
      settle({
        kind: wasSent ? 'unknown' : 'undelivered',
        reason: 'no response before the timeout',
      }),
    );
    if (this.isBlocked(from, zone, to) && !isConnectionOpen) return;
    wasSent = true;
    const body = serializedCopy(request.body);
    this.dispatch({ from, fromZone: zone, to, request, body, settle });
  }

  private dispatch(inFlight: InFlightRequest): void {
    const { to, request } = inFlight;
    if (this.random() < this.lossShare || this.hostsDroppingIncoming.has(to)) return;
    const delayMs = this.lateDeliveryMs?.(request.path);
    if (delayMs !== undefined) {
      this.time.after(delayMs, () => void this.handle(inFlight, to));
      return;
    }
    const deliver = (): void => this.deliverRequest(inFlight);
    const extraDelayMs = this.extraDelayMs?.(to) ?? 0;
    if (extraDelayMs > 0) this.time.after(extraDelayMs, () => this.forward(inFlight, deliver));
    else if (request.path === this.heldRequestPath) this.heldRequests.push({ inFlight, deliver });
    else this.forward(inFlight, deliver);
  }

  private forward(inFlight: InFlightRequest, deliver: () => void): void {
    if (this.isBlocked(inFlight.from, inFlight.fromZone, inFlight.to))
      this.heldRequests.push({ inFlight, deliver });
    else this.time.after(1 + this.random() * 4, deliver);
  }

  /** Forwards all held requests; those that are still blocked are held again. */
  private releaseHeldRequests(): void {
    const { heldRequests } = this;
    this.heldRequests = [];
    for (const { inFlight, deliver } of heldRequests) this.forward(inFlight, deliver);
  }

  /** Passes a request to the host at an address; undefined if there is none. */
  private handle(
    { from, request, body }: InFlightRequest,
    address: string,
  ): Promise<HostResponse> | undefined {
    const handler = this.hosts.get(address)?.handler;
    return handler && Promise.resolve(handler(request.method, request.path, body, from));
  }

  private deliverRequest(inFlight: InFlightRequest): void {
    const { from, to, request } = inFlight;
    const duplicate = this.duplicateDelivery?.(request.path, to);
    if (duplicate)
      this.time.after(duplicate.afterMs, () => void this.handle(inFlight, duplicate.to));
    const response = this.handle(inFlight, to);
    if (!response) {
      inFlight.settle(undelivered('refused'));
      return;
    }
    void response.then((hostResponse) => {
      if (this.random() < this.lossShare || this.hostsDroppingIncoming.has(from)) return;
      if (this.losesResponse?.(request.path)) return;
      this.sendResponse(inFlight, hostResponse);
    });
  }

  private sendResponse(inFlight: InFlightRequest, { status, body }: HostResponse): void {
    const receivedBody = serializedCopy(body);
    const { from, to } = inFlight;
    const extraDelay =
      (this.extraDelayMs?.(to) ?? 0) + (this.extraResponseDelayMs?.(from, to) ?? 0);
    const delay = 1 + this.random() * 4 + extraDelay;
    this.time.after(delay, () => {
      // A partition blocks responses too: the sender times out long before the partition heals.
      if (this.isBlocked(inFlight.from, inFlight.fromZone, inFlight.to)) return;
      inFlight.settle({ kind: 'response', status, body: receivedBody });
    });
  }

  private isBlocked(from: string, fromZone: string, to: string): boolean {
    if (this.isolations.get(from)?.isUnreachable(to)) return true;
    const host = this.hosts.get(to);
    return host !== undefined && (host.isHung || this.partitions.has(`${fromZone}|${host.zone}`));
  }

  private isConnectionRefused(from: string, to: string): boolean {
    const isolation = this.isolations.get(from);
    return this.refusing.has(to) || (isolation?.isRefusing === true && isolation.isUnreachable(to));
  }
}
