import type { HttpClient, Outcome, Request } from '../../src/net/http.js';
import type { Random } from '../../src/units/index.js';
import { decode, encode } from '../../src/wire/index.js';
import type { ProcessClock, VirtualTime } from './clock.js';

/** The zone of all that belongs to none: users, the balancer, the cloud, the state service. */
export const REGION = '.region';

export interface Answered {
  readonly status: number;
  readonly body?: unknown;
}

export type Handler = (
  method: string,
  path: string,
  body: unknown,
  from: string,
) => Answered | Promise<Answered>;

interface Host {
  readonly zone: string;
  handler: Handler | undefined;
  /** Silent hosts neither answer nor refuse; what reaches them waits until they go on. */
  hung: boolean;
}

const through = (value: unknown): unknown =>
  value === undefined ? undefined : decode(encode(value));

/**
 * The network between hosts: delays, cuts that hold messages back and deliver them late, and lost
 * answers. A message that is on its way is delivered whatever has become of its sender.
 */
export class Network {
  private readonly hosts = new Map<string, Host>();
  private readonly cuts = new Set<string>();
  private held: { host: string; from: string; to: string; go: () => void }[] = [];
  /** The share of answers that get lost, and of requests. */
  loss = 0;
  /** Requests to this path stay under way until it is cleared; then they arrive, late. */
  private holdPath: string | undefined;

  /** Hosts whose reports leave, while answers and commands don't reach them. */
  private readonly deaf = new Set<string>();
  /** Hosts that can't reach some addresses, and whether those refuse them or stay silent. */
  private readonly apart = new Map<string, { to: (address: string) => boolean; refuse: boolean }>();
  private readonly refusing = new Set<string>();
  /** Requests of which a copy arrives once more, late, and where; undefined: none of this one. */
  copy: ((path: string, to: string) => { to: string; after: number } | undefined) | undefined;

  deafen(host: string, on: boolean): void {
    if (on) this.deaf.add(host);
    else this.deaf.delete(host);
  }

  /** Keeps a host from some addresses. */
  keepApart(host: string, to: (address: string) => boolean, refuse: boolean): void {
    this.apart.set(host, { to, refuse });
  }

  reunite(host: string): void {
    this.apart.delete(host);
    this.release();
  }

  /** A packet filter before an address. */
  refuse(address: string, on: boolean): void {
    if (on) this.refusing.add(address);
    else this.refusing.delete(address);
  }

  hold(path: string | undefined): void {
    this.holdPath = path;
    if (path === undefined) this.release();
  }

  /** So much longer requests to an address take, and so much longer their answers. */
  slow: ((to: string) => number) | undefined;

  /** Requests that get no answer and are carried out so much later, after newer ones; undefined: not this one. */
  late: ((path: string) => number | undefined) | undefined;

  /** Answers to requests on which this says so get lost, though they were carried out. */
  losesAnswer: ((path: string) => boolean) | undefined;

  /** Called before each request leaves; a test may kill the sender here. */
  onSend: ((from: string, to: string, path: string) => void) | undefined;

  constructor(
    readonly time: VirtualTime,
    private readonly random: Random,
  ) {}

  attach(address: string, zone: string, handler: Handler): void {
    this.hosts.set(address, { zone, handler, hung: false });
  }

  detach(address: string): void {
    this.hosts.delete(address);
  }

  hang(address: string, hung: boolean): void {
    const host = this.hosts.get(address);
    if (host) host.hung = hung;
    if (!hung) this.release();
  }

  /** Cuts two zones off from each other. Zones named by a leading dot belong to the region. */
  cut(a: string, b: string, on: boolean): void {
    for (const key of [`${a}|${b}`, `${b}|${a}`]) {
      if (on) this.cuts.add(key);
      else this.cuts.delete(key);
    }
    if (!on) this.release();
  }

  private release(): void {
    const held = this.held;
    this.held = [];
    for (const h of held) this.forward(h.host, h.from, h.to, h.go);
  }

  private blocked(from: string, fromZone: string, to: string): boolean {
    if (this.apart.get(from)?.to(to)) return true;
    const host = this.hosts.get(to);
    return host !== undefined && (host.hung || this.cuts.has(`${fromZone}|${host.zone}`));
  }

  private refused(from: string, to: string): boolean {
    const apart = this.apart.get(from);
    return this.refusing.has(to) || (apart !== undefined && apart.refuse && apart.to(to));
  }

  private forward(host: string, fromZone: string, to: string, go: () => void): void {
    if (this.blocked(host, fromZone, to)) this.held.push({ host, from: fromZone, to, go });
    else this.time.after(1 + this.random() * 4, go);
  }

  /** A client of this network for one process. Nothing comes back to a process that is dead. */
  client(from: string, zone: string, clock: ProcessClock): HttpClient {
    return {
      send: (request) =>
        new Promise((resolve) => {
          this.onSend?.(from, request.endpoint, request.path);
          if (clock.dead) return;
          this.send(from, zone, request, (o) => clock.reach(() => resolve(o)));
        }),
    };
  }

  send(from: string, zone: string, request: Request, resolve: (o: Outcome) => void): void {
    let settled = false;
    const settle = (o: Outcome): void => {
      if (settled) return;
      settled = true;
      timer.cancel();
      resolve(o);
    };
    const to = request.endpoint;
    if (this.refused(from, to)) {
      this.time.after(1, () => resolve({ kind: 'undelivered', reason: 'refused' }));
      return;
    }
    // A new connection into a cut is given up and comes to nothing; a kept one carries on later.
    const kept = this.random() < 0.6;
    let sent = false;
    const timer = this.time.after(request.timeout, () =>
      settle({ kind: sent ? 'unknown' : 'undelivered', reason: 'no answer in time' }),
    );
    if (this.blocked(from, zone, to) && !kept) return;
    sent = true;
    const body = through(request.body);
    if (this.random() < this.loss || this.deaf.has(to)) return;
    const call = (at: string): Promise<Answered> | undefined => {
      const handler = this.hosts.get(at)?.handler;
      return handler && Promise.resolve(handler(request.method, request.path, body, from));
    };
    const late = this.late?.(request.path);
    if (late !== undefined) {
      this.time.after(late, () => void call(to));
      return;
    }
    const arrive = (): void => {
      const again = this.copy?.(request.path, to);
      if (again) this.time.after(again.after, () => void call(again.to));
      const answered = call(to);
      if (!answered) {
        settle({ kind: 'undelivered', reason: 'refused' });
        return;
      }
      void answered.then((a) => {
        if (this.random() < this.loss || this.deaf.has(from)) return;
        if (this.losesAnswer?.(request.path)) return;
        const answer = through(a.body);
        this.time.after(1 + this.random() * 4 + (this.slow?.(to) ?? 0), () => {
          // The way back is cut as well: the sender has long given up when it is open again.
          if (this.blocked(from, zone, to)) return;
          settle({ kind: 'answer', status: a.status, body: answer });
        });
      });
    };
    const slow = this.slow?.(to) ?? 0;
    if (slow > 0) this.time.after(slow, () => this.forward(from, zone, to, arrive));
    else if (request.path === this.holdPath)
      this.held.push({ host: from, from: zone, to, go: arrive });
    else this.forward(from, zone, to, arrive);
  }
}
