/**
 * A small deployment on loopback for the cases of the second review: the service's own controllers as processes, and
 * stand-ins for the state service, the cloud, the workers and the users, written from the protocol page. Every stand-in
 * keeps to that page; a case says itself which disruption it adds.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { setTimeout, clearTimeout, setInterval, clearInterval } from 'node:timers';
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';
import { Encoder } from 'cbor-x';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const HOST = '127.0.0.1';
/** "Responses normally take under 10 ms." */
const STORE_LATENCY_S = 0.006;
const cbor = new Encoder({ useRecords: false, mapsAsObjects: true, int64AsNumber: true });
const encode = (value) => cbor.encode(value);
const decode = (bytes) => (bytes.length > 0 ? cbor.decode(bytes) : undefined);

/** Seconds on the steady clock since the script began. */
export const now = () => performance.now() / 1000;
/** Resolves after that many seconds. */
export const sleep = (seconds) => new Promise((resolve) => setTimeout(resolve, seconds * 1000));

/** Waits until `condition` returns something true, and returns that; undefined after `seconds`. */
export async function until(condition, seconds) {
  const end = now() + seconds;
  for (;;) {
    const result = condition();
    if (result) return result;
    if (now() >= end) return undefined;
    await sleep(0.05);
  }
}

/** The record of one run: what was sent, answered and run. */
export class Record {
  constructor(file) {
    this.file = file;
    writeFileSync(file, '');
  }

  write(text) {
    appendFileSync(this.file, `${now().toFixed(3).padStart(8)}  ${text}\n`);
  }
}

/** Free ports, each kept by a listener until `release`, so that no outgoing connection gets it meanwhile. */
class Ports {
  listeners = new Map();

  async reserve(count) {
    const servers = await Promise.all(
      Array.from(
        { length: count },
        () =>
          new Promise((resolve, reject) => {
            const server = net.createServer((socket) => socket.destroy());
            server.on('error', reject);
            server.listen(0, HOST, () => resolve(server));
          }),
      ),
    );
    for (const server of servers) this.listeners.set(server.address().port, server);
    return [...this.listeners.keys()];
  }

  /** Resolves once something else can listen on the port. */
  release(port) {
    const server = this.listeners.get(port);
    this.listeners.delete(port);
    return server ? new Promise((resolve) => server.close(resolve)) : Promise.resolve();
  }
}

const ports = new Ports();

/** Sends one request. Returns `{status, body}`, or undefined if there is no response in time. */
export function request({ port, method, path: target, body, timeout, agent, onConnectionFailed }) {
  return new Promise((resolve) => {
    const bytes = body === undefined ? undefined : encode(body);
    const sent = http.request({
      host: HOST,
      port,
      method,
      path: target,
      agent,
      headers: bytes
        ? { 'content-type': 'application/cbor', 'content-length': bytes.length }
        : { accept: 'application/cbor' },
    });
    const timer = setTimeout(() => {
      resolve(undefined);
      sent.destroy();
    }, timeout * 1000);
    sent.on('error', (error) => {
      clearTimeout(timer);
      onConnectionFailed?.(error);
      resolve(undefined);
    });
    sent.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => resolve(undefined));
      response.on('end', () => {
        clearTimeout(timer);
        try {
          resolve({
            status: response.statusCode,
            body: decode(Buffer.concat(chunks)),
            retryAfter: Number(response.headers['retry-after'] ?? 0),
          });
        } catch {
          resolve(undefined);
        }
      });
    });
    sent.end(bytes);
  });
}

/**
 * The way of requests to one stand-in. While `isHeld`, what was sent on open connections waits and is delivered in order
 * once the interruption is over, also if its sender has given up; a connection attempt that was given up is not completed.
 */
export class Link {
  isHeld = false;
  heldSince = 0;
  waiting = [];

  hold() {
    this.isHeld = true;
    this.heldSince = now();
  }

  release() {
    this.isHeld = false;
    for (const resume of this.waiting.splice(0)) resume();
  }

  /** Resolves with whether the message arrives at all. */
  async pass(socket) {
    if (!this.isHeld) return true;
    const isOld = socket.openedAt < this.heldSince;
    await new Promise((resume) => this.waiting.push(resume));
    return isOld || !socket.destroyed;
  }
}

/** A TCP connection path between two controllers that can be held: bytes wait and arrive in order afterwards. */
export class PeerPath {
  isHeld = false;
  /** Called with what has just passed. */
  onPassed = () => undefined;
  connections = new Set();

  constructor(port, target) {
    this.port = port;
    this.server = net.createServer((inner) => this.connect(inner, target));
  }

  async open() {
    await ports.release(this.port);
    await new Promise((resolve) => this.server.listen(this.port, HOST, resolve));
  }

  connect(inner, target) {
    if (this.isHeld) {
      // A connection attempt during the interruption gets no answer.
      inner.on('error', () => undefined);
      inner.pause();
      return;
    }
    const outer = net.connect({ host: HOST, port: target });
    const pair = { inner, outer };
    this.connections.add(pair);
    const end = () => {
      this.connections.delete(pair);
      const finish = () => {
        inner.destroy();
        outer.end();
      };
      if (this.isHeld) this.onRelease(finish);
      else finish();
    };
    for (const socket of [inner, outer]) {
      socket.on('error', end);
      socket.on('close', end);
    }
    this.forward(inner, outer);
    this.forward(outer, inner);
  }

  forward(from, to) {
    from.on('data', (chunk) => {
      const pass = () => !to.destroyed && to.write(chunk);
      if (this.isHeld) this.onRelease(pass);
      else {
        pass();
        this.onPassed(chunk);
      }
    });
  }

  waiting = [];

  onRelease(run) {
    this.waiting.push(run);
  }

  hold() {
    this.isHeld = true;
  }

  release() {
    this.isHeld = false;
    for (const run of this.waiting.splice(0)) run();
  }
}

/** Serves requests on a port; `handle` returns `{status, body}` or a promise of it. */
async function serve(port, link, handle) {
  await ports.release(port);
  const server = http.createServer((incoming, outgoing) => {
    const chunks = [];
    incoming.on('error', () => undefined);
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('end', async () => {
      if (!(await link.pass(incoming.socket))) return;
      let body;
      try {
        body = decode(Buffer.concat(chunks));
      } catch {
        body = undefined;
      }
      const answer = await handle(incoming.method, incoming.url, body, incoming.socket);
      if (!answer) return;
      await link.pass(incoming.socket);
      if (outgoing.destroyed) return;
      outgoing.writeHead(answer.status, { 'content-type': 'application/cbor' });
      outgoing.end(encode(answer.body ?? {}));
    });
  });
  server.keepAliveTimeout = 600_000;
  server.on('connection', (socket) => {
    socket.openedAt = now();
    socket.on('error', () => undefined);
  });
  return new Promise((resolve) => server.listen(port, HOST, () => resolve(server)));
}

class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = now();
  }

  take(count) {
    const time = now();
    this.tokens = Math.min(this.rate, this.tokens + (time - this.at) * this.rate);
    this.at = time;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

/** The state service. */
export class Store {
  values = new Map();
  revision = 0;
  leases = new Map();
  lastLease = 0;
  changes = [];
  watchers = new Set();
  isDown = false;
  /** Names of the controllers that it refuses. */
  refused = new Set();

  constructor(limits, record) {
    this.limits = limits;
    this.record = record;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.sweep = setInterval(() => this.expireLeases(), 20);
  }

  close() {
    clearInterval(this.sweep);
  }

  setDown(isDown) {
    this.isDown = isDown;
    if (!isDown) for (const lease of this.leases.values()) lease.endsAt = now() + lease.ttl / 1000;
  }

  handle(from, method, target, body) {
    if (this.isDown || this.refused.has(from)) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take(1)) return { status: 429, body: { error: 'rate' } };
    const url = new URL(target, 'http://store');
    if (url.pathname === '/multi') return this.transact(from, body);
    if (url.pathname === '/store') return this.list(url.searchParams);
    if (url.pathname === '/follow') return this.follow(url.searchParams);
    if (url.pathname.startsWith('/store/')) return this.read(url.pathname.slice(7));
    if (url.pathname === '/leases') {
      const id = ++this.lastLease;
      this.leases.set(id, { ttl: body.ttl_ms, endsAt: now() + body.ttl_ms / 1000 });
      return { status: 200, body: { tenure: id } };
    }
    const id = Number(url.pathname.split('/')[2]);
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.endLease(id);
    else lease.endsAt = now() + lease.ttl / 1000;
    return { status: 200, body: { tenure: id } };
  }

  read(key) {
    const value = this.values.get(key);
    if (!value) return { status: 404, body: { ledger_rev: this.revision } };
    return {
      status: 200,
      body: { key, data: value.data, stamp: value.stamp, tenure: value.tenure ?? null },
    };
  }

  list(query) {
    const starts = query.get('starts') ?? '';
    const from = query.get('from') ?? '';
    const limit = Math.min(1000, Number(query.get('limit') ?? 1000));
    const keys = [...this.values.keys()].filter((key) => key.startsWith(starts) && key > from);
    keys.sort();
    return {
      status: 200,
      body: {
        items: keys.slice(0, limit).map((key) => {
          const { data, stamp } = this.values.get(key);
          return { key, data, stamp };
        }),
        has_next: keys.length > limit,
        ledger_rev: this.revision,
      },
    };
  }

  transact(from, { if: conditions = [], writes = [] }) {
    const { txn_ops: ops, value_kb: kb } = this.limits;
    if (!this.writes.take(writes.length)) return { status: 429, body: { error: 'rate' } };
    const sizes = writes.map(({ data }) => Buffer.byteLength(JSON.stringify(data ?? null)));
    if (
      writes.length > ops ||
      conditions.length > 4 * ops ||
      sizes.some((size) => size > kb * 1024) ||
      sizes.reduce((sum, size) => sum + size, 0) > 64 * 1024
    )
      return { status: 400, body: { error: 'too large' } };
    if (
      writes.some(
        ({ tenure }) => tenure !== undefined && tenure !== null && !this.leases.has(tenure),
      )
    )
      return { status: 400, body: { error: 'no such lease' } };
    const failed = conditions
      .filter(({ key, stamp }) => (this.values.get(key)?.stamp ?? 0) !== stamp)
      .map(({ key }) => key);
    if (failed.length > 0) return { status: 409, body: { failed, ledger_rev: this.revision } };
    if (writes.length > 0) this.apply(from, writes);
    return { status: 200, body: { ledger_rev: this.revision } };
  }

  apply(from, writes) {
    const stamp = ++this.revision;
    for (const { put, delete: gone, data, tenure } of writes) {
      if (put !== undefined) {
        this.values.set(put, { data, stamp, tenure: tenure ?? undefined });
        this.changes.push({ put, data, stamp });
        if (put === 'leader')
          this.record.write(`store: revision ${stamp}: key "leader" by ${from}`);
      } else if (this.values.delete(gone)) this.changes.push({ delete: gone, stamp });
    }
    this.notify();
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.values].filter(([, { tenure }]) => tenure === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) {
      this.values.delete(key);
      this.changes.push({ delete: key, stamp: this.revision });
      this.record.write(`store: revision ${this.revision}: key "${key}" removed with its lease`);
    }
    this.notify();
  }

  expireLeases() {
    if (this.isDown) return;
    for (const [id, lease] of this.leases) if (lease.endsAt < now()) this.endLease(id);
  }

  follow(query) {
    const starts = query.get('starts') ?? '';
    const from = Number(query.get('from') ?? 0);
    const oldest = this.changes.length > 10_000 ? this.changes.at(-10_000).stamp : 0;
    if (from < oldest) return { status: 410, body: {} };
    return new Promise((resolve) => {
      const watcher = { starts, from, resolve };
      this.watchers.add(watcher);
      setTimeout(() => this.answer(watcher, true), Number(query.get('wait_ms') ?? 0));
      this.answer(watcher, false);
    });
  }

  answer(watcher, isOver) {
    if (!this.watchers.has(watcher)) return;
    const log = this.changes.filter(
      (change) =>
        change.stamp > watcher.from && (change.put ?? change.delete).startsWith(watcher.starts),
    );
    if (log.length === 0 && !isOver) return;
    this.watchers.delete(watcher);
    watcher.resolve({ status: 200, body: { ledger_rev: this.revision, log } });
  }

  notify() {
    if (this.isDown) return;
    for (const watcher of [...this.watchers]) this.answer(watcher, false);
  }
}

/** The cloud. Machines boot within their type's `ready_s`; the list lags. */
export class Cloud {
  machines = new Map();
  hires = new Map();
  count = 0;
  isDown = false;
  /** Called with each request and its sender before it is carried out. */
  onRequest = () => undefined;
  /** The most machines at a time. */
  capacity = 12;
  latency = 0.08;

  constructor(cluster) {
    this.cluster = cluster;
  }

  async handle(from, method, target, body) {
    const url = new URL(target, 'http://cloud');
    this.onRequest(from, method, url.pathname, body);
    await sleep(this.latency);
    if (this.isDown) return { status: 503, body: { error: 'trouble' } };
    if (url.pathname === '/flavors')
      return { status: 200, body: { builds: this.cluster.options.builds } };
    if (url.pathname === '/machines/delete') {
      for (const name of body.boxes) this.remove(name, `deleted by ${from}`);
      return { status: 200, body: {} };
    }
    return method === 'POST' ? this.rent(from, body) : this.list(url.searchParams);
  }

  rent(from, { hire, build, hall, loaners, how_many: wanted }) {
    const known = this.hires.get(hire);
    if (known) return { status: 200, body: { boxes: known } };
    const alive = [...this.machines.values()].filter(({ goneAt }) => goneAt === undefined).length;
    const count = Math.min(wanted, this.capacity - alive);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const boxes = Array.from({ length: count }, () => this.add(build, hall, loaners, true).name);
    this.hires.set(hire, boxes);
    this.cluster.record.write(
      `cloud: ${hire} from ${from}: rented ${boxes.join(' ')} (${build}, ${hall})`,
    );
    return { status: 200, body: { boxes } };
  }

  /** Adds a machine. Its worker starts at once, or once it has booted. */
  add(build, hall, loaners, mustBoot) {
    const number = ++this.count;
    const machine = {
      name: `vm-${String(number).padStart(6, '0')}`,
      port: this.cluster.workerPorts[number - 1],
      build,
      hall,
      loaners,
      rentedAt: now(),
      goneAt: undefined,
      worker: undefined,
    };
    this.machines.set(machine.name, machine);
    const type = this.cluster.options.builds.find(({ name }) => name === build);
    const boot = () => {
      if (machine.goneAt === undefined) machine.worker = new Worker(this.cluster, machine, type);
    };
    if (mustBoot) setTimeout(boot, type.ready_s * 1000);
    else boot();
    return machine;
  }

  remove(name, why) {
    const machine = this.machines.get(name);
    if (!machine || machine.goneAt !== undefined) return;
    machine.goneAt = now();
    const running = machine.worker?.runningTasks() ?? [];
    this.cluster.record.write(`cloud: ${name} ${why}; tasks on it: ${running.join(' ') || 'none'}`);
    machine.worker?.kill();
  }

  list(query) {
    const from = query.get('from') ?? '';
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const at = now() - this.cluster.options.params.cloud.list_lag_s;
    const boxes = [...this.machines.values()]
      .filter(({ name, rentedAt, goneAt }) => name > from && rentedAt <= at && !(goneAt <= at))
      .map(({ name, port, build, hall, loaners, rentedAt, worker }) => ({
        name_id: name,
        addr: `${HOST}:${port}`,
        build,
        hall,
        loaners,
        status: worker && worker.startedAt <= at ? 'running' : 'starting',
        age_s: at - rentedAt,
      }));
    return { status: 200, body: { boxes: boxes.slice(0, limit), has_next: boxes.length > limit } };
  }
}

/** A worker on one machine. */
export class Worker {
  session = 1;
  tally = 0;
  baton = 0;
  attempts = new Map();
  images = new Set();
  isDead = false;
  isHung = false;
  /** Called with each report and each request to `/commands` as it is sent, for cases that deliver copies. */
  onMessage = () => undefined;
  /** Called with the running tasks when the lease is over. */
  onLeaseOver = () => undefined;
  recallAt = undefined;
  hasChange = false;
  isReporting = false;
  lastReportAt = -Infinity;
  tokenChangeAt = -Infinity;
  link = new Link();

  constructor(cluster, machine, type) {
    this.cluster = cluster;
    this.machine = machine;
    this.type = type;
    this.startedAt = now();
    this.renewedAt = now();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.node = cluster.options.firstNodeOf?.(machine) ?? cluster.nextNode++ % cluster.nodes.length;
    this.interval = cluster.params.workers.report_s;
    this.server = serve(machine.port, this.link, (method, target, body) =>
      this.handle(method, target, body),
    );
    this.timer = setInterval(() => this.tick(), 50);
    cluster.record.write(`${machine.name} is up (${machine.build}, ${machine.hall})`);
  }

  runningTasks() {
    return [...this.attempts.values()]
      .filter(({ status }) => status === 'running' || status === 'flushing')
      .map(({ entry, number }) => `${entry}#${number}`);
  }

  async kill() {
    this.isDead = true;
    clearInterval(this.timer);
    this.dropTasks('machine gone');
    this.agent.destroy();
    const server = await this.server;
    server.close();
    server.closeAllConnections();
  }

  /** Restarts the worker at once without its state. */
  restart() {
    this.dropTasks('worker restarted');
    this.images.clear();
    this.session = 1;
    this.tally = 0;
    this.baton = 0;
    this.renewedAt = now();
    this.hasChange = true;
    this.cluster.record.write(`${this.machine.name} restarted`);
  }

  dropTasks(why) {
    for (const attempt of this.attempts.values()) this.leave(attempt, why);
    this.attempts.clear();
  }

  leave(attempt, why) {
    clearTimeout(attempt.timer);
    if (attempt.isOn) this.cluster.tasks.left(this.machine, attempt, why);
    attempt.isOn = false;
    this.leaveGang(attempt);
  }

  /** Lets the machine hang: it carries out nothing until it goes on. */
  hang() {
    this.isHung = true;
    this.link.hold();
    this.cluster.record.write(`${this.machine.name} hangs`);
  }

  goOn() {
    if (this.isDead) return;
    this.cluster.record.write(`${this.machine.name} goes on`);
    this.isHung = false;
    this.tick();
    this.link.release();
  }

  /** Runs a callback of a task after a delay, or later if the machine hangs then. */
  schedule(attempt, seconds, run) {
    const due = () => {
      if (this.isHung) attempt.timer = setTimeout(due, 100);
      else run();
    };
    attempt.timer = setTimeout(due, seconds * 1000);
  }

  tick() {
    if (this.isDead || this.isHung) return;
    const { lease_s: lease, report_s: every } = this.cluster.params.workers;
    const time = now();
    if (time - this.renewedAt > lease) {
      this.onLeaseOver(this.runningTasks());
      this.dropTasks('lease over');
      this.session++;
      this.renewedAt = time;
      this.hasChange = true;
      this.cluster.record.write(`${this.machine.name}: lease over, session ${this.session}`);
    }
    const since = time - this.lastReportAt;
    if (this.isReporting || !(since >= this.interval || (this.hasChange && since >= 0.5))) return;
    this.interval = every * (0.75 + 0.5 * Math.random());
    this.report();
  }

  message() {
    this.tally++;
    return {
      box: this.machine.name,
      addr: `${HOST}:${this.machine.port}`,
      build: this.machine.build,
      hall: this.machine.hall,
      loaners: this.machine.loaners,
      shift: this.session,
      tally: this.tally,
      baton: this.baton,
      recall_s: this.recallAt === undefined ? null : Math.max(0, this.recallAt - now()),
      entries: [...this.attempts.values()].map(({ entry, number, status, cause, kept }) => ({
        entry,
        try: number,
        status,
        ...(cause ? { cause } : {}),
        ...(kept ? { kept } : {}),
      })),
    };
  }

  async report() {
    this.isReporting = true;
    this.hasChange = false;
    const { session } = this;
    const sentAt = now();
    this.lastReportAt = sentAt;
    const node = this.cluster.nodes[this.node];
    let answer;
    if (this.cluster.canReach(this.machine, node)) {
      const message = this.message();
      this.onMessage('report', message);
      answer = await request({
        port: node.apiPort,
        method: 'POST',
        path: '/agent/beat',
        body: message,
        timeout: 4,
        agent: this.agent,
      });
    } else await sleep(4);
    if (this.isDead) return;
    if (this.isHung) answer = undefined;
    if (answer?.status === 200) {
      if (session === this.session) this.accept(answer.body, sentAt, node);
    } else if (answer?.status === 421 && this.cluster.indexOf(answer.body?.clerk, this.node) >= 0) {
      this.node = this.cluster.indexOf(answer.body.clerk, this.node);
      this.hasChange = true;
    } else {
      this.cluster.record.write(
        `${this.machine.name}: report to ${node.name}: ${answer?.status ?? 'no answer'}`,
      );
      await sleep(1);
      this.node = (this.node + 1) % this.cluster.nodes.length;
      this.hasChange = true;
    }
    this.isReporting = false;
  }

  accept({ baton, orders }, sentAt, node) {
    if (typeof baton !== 'number' || baton < this.baton) {
      this.cluster.record.write(`${this.machine.name}: dropped a 200 with token ${baton}`);
      return;
    }
    this.see(baton, node.name);
    this.renewedAt = Math.max(this.renewedAt, sentAt);
    for (const order of orders ?? []) this.execute(order, `answer of ${node.name}`);
  }

  see(baton, from) {
    if (baton <= this.baton) return;
    this.baton = baton;
    this.cluster.record.write(`${this.machine.name}: token ${baton} (${from})`);
    if (now() - this.tokenChangeAt < this.cluster.params.workers.lease_s / 2) return;
    this.tokenChangeAt = now();
    this.hasChange = true;
  }

  handle(_method, target, body) {
    if (this.isDead) return undefined;
    if (target === '/status') return { status: 200, body: this.message() };
    if (typeof body?.baton !== 'number' || typeof body?.shift !== 'number')
      return { status: 400, body: {} };
    if (!body.isCopy) this.onMessage('commands', body);
    if (body.baton < this.baton || body.shift !== this.session)
      return { status: 409, body: this.message() };
    this.see(body.baton, '/commands');
    for (const order of body.orders ?? []) this.execute(order, '/commands');
    return { status: 200, body: this.message() };
  }

  execute({ verb, entry, try: number, wind_down_s: grace }, way) {
    const key = `${entry}#${number}`;
    const attempt = this.attempts.get(key);
    this.cluster.record.write(`${this.machine.name}: ${verb} ${key} (${way})`);
    if (verb === 'launch' && !attempt) this.launch(entry, number, key);
    else if (verb === 'clear' && attempt?.status === 'exited') this.attempts.delete(key);
    else if (verb === 'kill' && attempt && attempt.status !== 'exited') this.stop(attempt, grace);
  }

  launch(entry, number, key) {
    const job = this.cluster.tasks.jobOf(entry);
    const attempt = { entry, number, status: 'fetching', job, isOn: false };
    this.attempts.set(key, attempt);
    this.hasChange = true;
    if (!job) return this.exit(attempt, 'no_such');
    const others = [...this.attempts.values()].filter(
      (other) => other !== attempt && other.status !== 'exited',
    );
    if (others.some((other) => other.entry === entry)) return this.exit(attempt, 'in_use');
    const used = (field) => others.reduce((sum, other) => sum + other.job[field], job[field]);
    if (used('vcpus') > this.type.vcpus || used('ram_gb') > this.type.ram_gb)
      return this.exit(attempt, 'full');
    const fetch = this.images.has(job.bundle) ? 0 : job.size_gb / this.type.fetch_gb_per_s;
    this.schedule(attempt, fetch, () => this.begin(attempt));
  }

  begin(attempt) {
    this.images.add(attempt.job.bundle);
    attempt.isOn = true;
    attempt.status = 'running';
    this.hasChange = true;
    this.cluster.tasks.started(this.machine, attempt);
    if (attempt.job.shape === 'ensemble') {
      this.joinGang(attempt);
      return;
    }
    const run = this.cluster.tasks.isDone(attempt.entry) ? 0 : attempt.job.runS;
    this.schedule(attempt, run, () => {
      this.cluster.tasks.completed(attempt.entry);
      this.exit(attempt, 'done');
    });
  }

  /** A gang runs while all its tasks of one attempt are there, and they complete together. It never saves here. */
  joinGang(attempt) {
    const { job, number } = attempt;
    if (this.cluster.tasks.isDone(attempt.entry)) {
      this.exit(attempt, 'done');
      return;
    }
    const key = `${job.name_id}#${number}`;
    const gang = this.cluster.gangs.get(key) ?? { members: new Map(), isRunning: false };
    this.cluster.gangs.set(key, gang);
    attempt.status = 'gathering';
    attempt.gang = gang;
    gang.members.set(attempt.entry, { worker: this, attempt });
    this.schedule(attempt, this.cluster.params.workers.gang_wait_s, () =>
      this.exit(attempt, 'incomplete'),
    );
    if (gang.members.size < job.entries) return;
    gang.isRunning = true;
    for (const member of gang.members.values()) {
      clearTimeout(member.attempt.timer);
      member.attempt.status = 'running';
      member.worker.hasChange = true;
    }
    const finish = () => {
      const members = [...gang.members.values()];
      if (members.length < job.entries || members.some(({ worker }) => worker.isHung)) {
        for (const member of members) member.worker.exit(member.attempt, 'peers');
        return;
      }
      for (const member of members) this.cluster.tasks.completed(member.attempt.entry);
      for (const member of members) member.worker.exit(member.attempt, 'done');
    };
    gang.timer = setTimeout(finish, job.runS * 1000);
  }

  /** Lets the other tasks of a running gang notice that one is gone. */
  leaveGang({ entry, gang, status }) {
    if (gang?.members.get(entry)?.worker !== this) return;
    gang.members.delete(entry);
    if (!gang.isRunning || status === 'exited' || this.cluster.tasks.isDone(entry)) return;
    clearTimeout(gang.timer);
    const notice = this.cluster.params.workers.gang_peer_s * 500;
    for (const { worker, attempt } of gang.members.values())
      setTimeout(() => {
        if (attempt.status !== 'exited' && !worker.isDead) worker.exit(attempt, 'peers');
      }, notice);
  }

  stop(attempt, grace) {
    const { stamp_every_s: every, stamp_s: save } = attempt.job;
    if (attempt.status === 'flushing' && grace > 0) return;
    if (attempt.status === 'running' && !attempt.gang && every > 0 && grace >= save) {
      attempt.status = 'flushing';
      this.hasChange = true;
      clearTimeout(attempt.timer);
      this.schedule(attempt, save, () => {
        attempt.kept = true;
        this.exit(attempt, 'halted');
      });
    } else this.exit(attempt, 'halted');
  }

  exit(attempt, cause) {
    this.leave(attempt, cause);
    attempt.status = 'exited';
    attempt.cause = cause;
    this.hasChange = true;
  }
}

/** What runs where, seen from the machines. Checks the rules about starts. */
export class Tasks {
  jobs = new Map();
  on = new Map();
  done = new Set();
  starts = [];
  violations = [];

  constructor(cluster) {
    this.cluster = cluster;
  }

  jobOf(entry) {
    return this.jobs.get(entry.slice(0, entry.lastIndexOf('/')));
  }

  isDone(entry) {
    return this.done.has(entry);
  }

  completed(entry) {
    this.done.add(entry);
  }

  isJobDone(id) {
    const { entries } = this.jobs.get(id);
    return Array.from({ length: entries }, (_, i) => `${id}/${i}`).every((e) => this.done.has(e));
  }

  violation(rule, text) {
    this.violations.push({ rule, text });
    this.cluster.record.write(`RULE BROKEN: ${rule}: ${text}`);
  }

  started(machine, { entry, number, job }) {
    const { record } = this.cluster;
    record.write(
      `${machine.name}: START ${entry}#${number}${this.isDone(entry) ? ' (result kept)' : ''}`,
    );
    this.starts.push({ entry, number, machine: machine.name, at: now() });
    for (const other of this.on.values())
      if (other.entry === entry && other.machine !== machine)
        this.violation(
          'ran_twice',
          `${entry} starts on ${machine.name}, is on ${other.machine.name}`,
        );
    this.on.set(`${machine.name} ${entry}#${number}`, { machine, entry, number, job });
    const { cancel_s: limit } = this.cluster.params.workers;
    if (now() - job.cancelledAt > limit)
      this.violation(
        'ran_cancelled',
        `${entry} starts ${(now() - job.cancelledAt).toFixed(1)} s after`,
      );
    this.checkPlace(machine, entry, job);
    this.checkQuota();
  }

  checkPlace(machine, entry, job) {
    const others = [...this.on.values()].filter((o) => o.job === job && o.entry !== entry);
    const isWrong =
      (job.builds && !job.builds.includes(machine.build)) ||
      (job.hall && job.hall !== machine.hall) ||
      (!job.loaners && machine.loaners) ||
      (job.together && others.some((o) => o.machine.hall !== machine.hall)) ||
      (job.apart &&
        others.filter((o) => o.machine.hall === machine.hall).length + 1 >
          Math.ceil(job.entries / 2));
    if (isWrong)
      this.violation(
        'wrong_place',
        `${entry} on ${machine.name} (${machine.build}, ${machine.hall}); others in ${others.map((o) => o.machine.hall).join(' ')}`,
      );
  }

  checkQuota() {
    for (const { name, cpus_max: max } of this.cluster.params.teams) {
      if (!max) continue;
      let used = 0;
      for (const { job } of this.on.values()) if (job.desk === name) used += job.vcpus;
      if (used > max + 1e-9) this.violation('quota', `${name} uses ${used} of ${max}`);
    }
  }

  left(machine, { entry, number }, why) {
    this.cluster.record.write(`${machine.name}: END ${entry}#${number}: ${why}`);
    this.on.delete(`${machine.name} ${entry}#${number}`);
  }

  /** To be called at intervals: what must be gone by now. */
  check() {
    for (const { machine, entry, job } of this.on.values()) {
      if (
        now() - job.cancelledAt > this.cluster.params.workers.cancel_s + 0.1 &&
        !job.wasReported
      ) {
        job.wasReported = true;
        this.violation('ran_cancelled', `${entry} is still on ${machine.name}`);
      }
    }
  }
}

/** A load balancer and the users behind it, as far as a case needs them. */
export class Users {
  next = 0;

  constructor(cluster) {
    this.cluster = cluster;
  }

  job(id, fields = {}) {
    const job = {
      name_id: id,
      docket: 'settlement-batch',
      desk: 'ledger-ops',
      shape: 'sweep',
      urgency: 'normal',
      entries: 1,
      vcpus: 1,
      gpus: 0,
      ram_gb: 1,
      bundle: 'img-01',
      size_gb: 0.2,
      builds: null,
      hall: null,
      together: false,
      apart: false,
      loaners: true,
      expected_s: 10,
      stamp_every_s: 0,
      stamp_s: 0,
      due_s: null,
      ...fields,
    };
    delete job.runS;
    return { ...job, message: { ...job }, runS: fields.runS ?? job.expected_s };
  }

  /** Sends one request to a node. */
  async ask(node, method, target, body, timeout) {
    const answer = await request({
      port: node.apiPort,
      method,
      path: target,
      body,
      timeout,
    });
    const text = answer ? `${answer.status} ${JSON.stringify(answer.body)}` : 'no answer';
    this.cluster.record.write(`user: ${method} ${target} at ${node.name}: ${text}`);
    return answer;
  }

  pick(nodes) {
    const healthy = nodes.filter((node) => node.isUp);
    return healthy[this.next++ % healthy.length];
  }

  /** Submits a job and repeats that as the page says. Returns the last answer. */
  async submit(job, nodes = this.cluster.nodes) {
    this.cluster.tasks.jobs.set(job.name_id, job);
    const end = now() + 60;
    let answer;
    while (now() < end) {
      answer = await this.ask(this.pick(nodes), 'POST', '/v1/jobs', job.message, 5);
      if (answer?.status === 201 || answer?.status === 200) job.acceptedAt ??= now();
      if ([200, 201, 400, 422].includes(answer?.status)) return answer;
      await sleep(Math.max(1, Math.min(30, answer?.retryAfter ?? 0)));
    }
    return answer;
  }

  async poll(id, nodes = this.cluster.nodes) {
    return this.ask(this.pick(nodes), 'GET', `/v1/jobs/${id}`, undefined, 2);
  }

  async cancel(job, nodes = this.cluster.nodes) {
    const end = now() + 60;
    while (now() < end) {
      const answer = await this.ask(
        this.pick(nodes),
        'POST',
        `/v1/jobs/${job.name_id}/abort`,
        {},
        5,
      );
      if (answer?.status === 200) {
        if (answer.body.status === 'aborted') job.cancelledAt ??= now();
        return answer;
      }
      await sleep(1);
    }
    return undefined;
  }
}

const DEFAULTS = {
  zones: ['serra-east', 'pampa-west', 'litoral-south'],
  builds: [
    {
      name: 'small-boxes',
      vcpus: 8,
      gpus: 0,
      ram_gb: 32,
      cache_gb: 30,
      fetch_gb_per_s: 0.4,
      rate: 0.43,
      spot_price: 0.13,
      ready_s: 3,
      halls: ['serra-east', 'pampa-west', 'litoral-south'],
    },
  ],
  params: {
    teams: [{ name: 'ledger-ops', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    objectives: [{ kind: 'finished', class: 'settlement-batch', within_s: 60, share: 0.88 }],
    workers: { report_s: 3, lease_s: 24, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 44 },
    state: { rps: 80, write_rps: 15, value_kb: 8, txn_ops: 8 },
    cloud: { rps: 2, list_lag_s: 3 },
    limits: { cpu: 0.17, ram_mb: 146, max_connections: 900 },
    time_bound_ms: 250,
  },
};

/** Three controllers with all that they use. */
export class Cluster {
  gangs = new Map();
  nextNode = 0;
  nodes = [];
  servers = [];
  /** Whether a worker on a machine reaches a node. */
  canReach = () => true;

  static async create(recordFile, options = {}) {
    const cluster = new Cluster();
    cluster.options = {
      ...DEFAULTS,
      ...options,
      params: { ...DEFAULTS.params, ...options.params },
    };
    cluster.params = cluster.options.params;
    cluster.record = new Record(recordFile);
    cluster.folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
    cluster.store = new Store({ ...cluster.params.state }, cluster.record);
    cluster.cloud = new Cloud(cluster);
    cluster.tasks = new Tasks(cluster);
    cluster.users = new Users(cluster);
    cluster.ticker = setInterval(() => cluster.tasks.check(), 200);
    process.once('exit', () => cluster.killAll());
    for (const signal of ['SIGINT', 'SIGTERM'])
      process.once(signal, () => {
        process.exit(2);
      });
    await cluster.open();
    return cluster;
  }

  async open() {
    const { zones } = this.options;
    const count = zones.length;
    const free = await ports.reserve(count * (count + 3) + 40);
    const take = () => free.pop();
    this.nodes = zones.map((zone, index) => ({
      name: `worker-${index}`,
      index,
      zone,
      apiPort: take(),
      peerPort: take(),
      storePort: take(),
      cloudPort: take(),
      storeLink: new Link(),
      cloudLink: new Link(),
      isUp: false,
    }));
    for (const from of this.nodes) {
      from.paths = new Map();
      for (const to of this.nodes) {
        if (to === from || !this.options.hasPeerPaths) continue;
        const link = new PeerPath(take(), to.peerPort);
        await link.open();
        from.paths.set(to, link);
      }
    }
    this.workerPorts = free;
    for (const node of this.nodes) {
      this.servers.push(
        await serve(node.storePort, node.storeLink, async (method, target, body) => {
          await sleep(STORE_LATENCY_S / 2);
          const answer = await this.store.handle(node.name, method, target, body);
          await sleep(STORE_LATENCY_S / 2);
          return answer;
        }),
        await serve(node.cloudPort, node.cloudLink, (method, target, body) =>
          this.cloud.handle(node.name, method, target, body),
        ),
      );
    }
  }

  indexOf(name, current) {
    const index = this.nodes.findIndex((node) => node.name === name);
    return index === current ? -1 : index;
  }

  settingsOf(node) {
    const { params, zones } = this.options;
    return {
      node: node.name,
      area: node.zone,
      api_addr: `${HOST}:${node.apiPort}`,
      cluster_listen: `${HOST}:${node.peerPort}`,
      others: this.nodes
        .filter((other) => other !== node)
        .map((other) => ({
          node: other.name,
          area: other.zone,
          endpoint: `${HOST}:${node.paths.get(other)?.port ?? other.peerPort}`,
        })),
      endpoints: { cloud: `${HOST}:${node.cloudPort}`, state: `${HOST}:${node.storePort}` },
      params: { nodes: this.nodes.length, zones: [...new Set(zones)].sort(), ...params },
    };
  }

  /** Starts the process of a node with the command of the deploy file. */
  start(node) {
    const run = /^run = "(.*)"$/m.exec(
      readFileSync(path.join(ROOT, 'deploy/service.toml'), 'utf8'),
    )[1];
    const settings = path.join(this.folder, `${node.name}.json`);
    writeFileSync(settings, JSON.stringify(this.settingsOf(node)));
    const [program, ...args] = run.split(' ');
    const child = spawn(program, [...args, settings], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.REVIEW_LOG ?? 'info' },
    });
    node.child = child;
    node.isUp = true;
    this.record.write(`${node.name} started`);
    let rest = '';
    child.stderr.on('data', (chunk) => {
      const lines = (rest + chunk).split('\n');
      rest = lines.pop();
      for (const line of lines) this.log(node, line);
    });
    child.on('exit', (code, signal) => {
      if (node.child !== child) return;
      node.isUp = false;
      node.child = undefined;
      this.record.write(`${node.name} ended by itself: ${code ?? signal}`);
      this.tasks.violation('ended', `${node.name} ended by itself: ${code ?? signal}`);
    });
  }

  log(node, line) {
    try {
      const { level, msg, ...rest } = JSON.parse(line);
      Object.assign(rest, {
        time: undefined,
        node: undefined,
        pid: undefined,
        hostname: undefined,
      });
      if (/report|usage/.test(msg) && level === 'info' && msg.length < 30) return;
      this.record.write(
        `  log ${node.name} ${level}: ${msg} ${JSON.stringify(rest).slice(0, 240)}`,
      );
    } catch {
      this.record.write(`  log ${node.name} ${line}`);
    }
  }

  kill(node) {
    const { child } = node;
    node.child = undefined;
    node.isUp = false;
    child?.kill('SIGKILL');
    this.record.write(`${node.name} killed`);
  }

  stop(node) {
    this.record.write(`${node.name} stands still`);
    node.child?.kill('SIGSTOP');
    node.isUp = false;
  }

  resume(node) {
    this.record.write(`${node.name} goes on`);
    node.child?.kill('SIGCONT');
    node.isUp = true;
  }

  killAll() {
    for (const node of this.nodes) {
      const { child } = node;
      node.child = undefined;
      child?.kill('SIGKILL');
    }
    if (this.folder) rmSync(this.folder, { recursive: true, force: true });
  }

  /** The node that holds the leader key. */
  leader() {
    const name = this.store.values.get('leader')?.data?.node;
    return this.nodes.find((node) => node.name === name);
  }

  /** Starts all nodes and waits for a leader that answers. */
  async begin() {
    for (const node of this.nodes) {
      await ports.release(node.apiPort);
      await ports.release(node.peerPort);
      this.start(node);
    }
    const isReady = await until(() => this.leader(), 15);
    if (!isReady) throw new Error('no leader within 15 s');
    const end = now() + 15;
    for (const node of this.nodes) {
      for (;;) {
        const up = await request({ port: node.apiPort, method: 'GET', path: '/up', timeout: 1 });
        if (up?.status === 200) break;
        if (now() > end) throw new Error(`${node.name} is not up within 15 s`);
        await sleep(0.2);
      }
    }
    this.record.write(`leader: ${this.leader()?.name}`);
  }
}

/**
 * Runs a case. `body` gets the cluster and whether there is trouble, and returns the violations that count. Ends the
 * process with 1 if there are any, 0 if the rule held, and 2 if the case could not run.
 */
export async function runCase(recordFile, options, body) {
  const isTrouble = process.env.TROUBLE !== '0';
  const limit = setTimeout(() => process.exit(2), 118_000);
  let code = 2;
  let cluster;
  try {
    cluster = await Cluster.create(recordFile, options);
    const broken = await body(cluster, isTrouble);
    code = broken.length > 0 ? 1 : 0;
    for (const { rule, text } of broken) cluster.record.write(`RESULT: broken: ${rule}: ${text}`);
    if (code === 0) cluster.record.write('RESULT: the rule held');
  } catch (error) {
    cluster?.record.write(`RESULT: could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  cluster?.killAll();
  process.exit(code);
}
