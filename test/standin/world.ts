import { pino, type Logger } from 'pino';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { parseSettings, type Settings } from '../../src/config/settings.js';
import type { Endpoint, NodeId } from '../../src/units/index.js';
import { ms, type Random } from '../../src/units/index.js';
import { decode, encode, type MachineType } from '../../src/wire/index.js';
import { settingsFile } from '../support/settings.js';
import { Balancer } from './balancer.js';
import type { Build, PeerConnection, RunningController } from './build.js';
import { ProcessClock, VirtualTime } from './clock.js';
import { Cloud, type Rented } from './cloud.js';
import { Network, REGION } from './network.js';
import { StateService } from './state.js';
import { presentBuild } from './present-build.js';
import { Users, type Known } from './users.js';
import { Worker, type WorkerWorld } from './worker.js';

const STATE = '10.2.0.1:2379';
const CLOUD = '10.2.0.2:8443';

export const flavors: readonly MachineType[] = [
  {
    name: 'small',
    cpus: 8,
    gpus: 0,
    memoryGb: 32,
    cacheGb: 20,
    fetchGbPerSecond: 0.5,
    onDemandPrice: 0.4,
    spotPrice: 0.15,
    bootSeconds: 10,
    zones: ['a', 'b', 'c'],
  },
];

interface Process {
  readonly clock: ProcessClock;
  readonly controller: RunningController;
}

/** The limit of the one team, unless a world sets another. */
const TEAM_CPUS = 24;

/** Once all troubles are over, a job waits no longer than this beside a machine that has room for it. */
const WAITING_BESIDE_ROOM = 90_000;

/** Questions about a job go unanswered for at most so long, while others are answered, and at all. */
const UNANSWERED_AMONG_OTHERS = 90_000;
const UNANSWERED_IN_CALM = 75_000;

export interface WorldOptions {
  readonly seed: number;
  readonly zones?: readonly string[];
  readonly loss?: number;
  /** The most processors of its one team; 0: no limit. */
  readonly cpusMax?: number;
  /** The share of a processor that a controller counts on. */
  readonly cpu?: number;
  /** The limits that the state service will have, as the settings tell them. */
  readonly nextState?: { value_kb: number; txn_ops: number; write_rps: number };
  /** The version that all controllers run until they are upgraded. */
  readonly build?: Build;
}

/** Three whole controllers among stand-ins, on a virtual clock, with the rules checked as they run. */
export class World implements WorkerWorld {
  readonly time = new VirtualTime();
  readonly random: Random;
  readonly network: Network;
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly broken: string[] = [];
  readonly users: Users;
  readonly workers = new Map<string, { worker: Worker; machine: Rented }>();
  starts = 0;
  private readonly nodes = new Map<number, Process>();
  private readonly where = new Map<string, Set<string>>();
  private readonly settings: Settings;
  private readonly zones: readonly string[];
  private readonly cpusMax: number;
  private readonly cpu: number | undefined;
  private readonly nextState: WorldOptions['nextState'];
  /** What each controller runs when it is started next. */
  private readonly builds = new Map<number, Build>();
  private readonly log: Logger;
  /** Since when all troubles are over. */
  private calmSince: number | undefined;

  constructor(options: WorldOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
    this.zones = options.zones ?? ['a', 'b', 'c'];
    this.cpusMax = options.cpusMax ?? TEAM_CPUS;
    this.cpu = options.cpu;
    this.nextState = options.nextState;
    for (const n of [0, 1, 2]) this.builds.set(n, options.build ?? presentBuild);
    this.settings = parseSettings(this.fileOf(0));
    // What goes wrong inside must not stay unseen behind a passing rule check.
    this.log = pino(
      { level: process.env.SIM_LOG ?? 'error' },
      {
        write: (line) => {
          if ((JSON.parse(line) as { level: number }).level >= 50) this.broken.push(`log: ${line}`);
          if (process.env.SIM_LOG) process.stderr.write(`${Math.round(this.time.now)} ${line}`);
        },
      },
    );
    this.network = new Network(this.time, this.random);
    this.network.loss = options.loss ?? 0;
    this.state = new StateService(this.time, this.settings.state);
    this.cloud = new Cloud(
      this.time,
      this.random,
      flavors,
      3000,
      (m) => this.boot(m),
      (m) => this.gone(m),
      (n) => `10.1.${n >> 8}.${n & 255}:9000`,
    );
    this.network.attach(STATE, REGION, (m, p, b, from) => this.state.handle(m, p, b, from));
    this.network.attach(CLOUD, REGION, (m, p, b) => this.cloud.handle(m, p, b));
    for (const n of [0, 1, 2]) this.startNode(n);
    const probes = new ProcessClock(this.time, 0, 0);
    const balancer = new Balancer(this.time, this.random, 3, async (n) => {
      const { apiEndpoint: api } = parseSettings(settingsFile(n, this.zones));
      const client = this.network.client('balancer', REGION, probes);
      const o = await client.send({ endpoint: api, method: 'GET', path: '/up', timeout: ms(1000) });
      return o.kind === 'answer' && o.status === 200;
    });
    this.users = new Users({
      time: this.time,
      random: this.random,
      network: this.network,
      balancer,
      zones: this.zones,
      process: (n) => this.nodes.get(n),
      completed: (entry) => this.completed(entry),
      rule: (name, what) => this.rule(name, what),
    });
    this.watchCancelled();
    this.watchAnswers();
    this.watchRoom();
  }

  /** The settings file of a node. */
  private fileOf(n: number) {
    const file = settingsFile(n, this.zones);
    const teams = file.params.teams.map((t) => ({ ...t, cpus_max: this.cpusMax }));
    const limits = { ...file.params.limits, cpu: this.cpu ?? file.params.limits.cpu };
    const state = { ...file.params.state, next: this.nextState };
    return { ...file, params: { ...file.params, teams, limits, state } };
  }

  /** The state service takes from now on what the settings announced. */
  lowerStateLimits(): void {
    const { next } = this.settings.state;
    if (next) this.state.lower(next);
  }

  /** Machines that are there before anything is asked for. */
  provide(count: number): void {
    this.cloud.capacity = count;
    for (let left = count; left > 0; left -= 50) {
      const zone = this.zones[(left / 50) % this.zones.length] ?? '';
      this.cloud.handle('POST', '/machines', {
        hire: `given-${left}`,
        build: flavors[0]?.name,
        hall: zone,
        loaners: true,
        how_many: Math.min(50, left),
      });
    }
  }

  /** From now on nothing goes wrong any more. */
  calm(): void {
    this.calmSince = this.time.now;
  }

  get isCalm(): boolean {
    return this.calmSince !== undefined;
  }

  // --- controllers ------------------------------------------------------------------------------

  startNode(n: number): void {
    if (this.nodes.has(n)) return;
    const file = this.fileOf(n);
    const settings = parseSettings(file);
    const clock = new ProcessClock(
      this.time,
      (this.random() - 0.5) * 0.0005,
      (this.random() - 0.5) * 400,
    );
    const api = settings.apiEndpoint;
    const http = this.network.client(settings.node, settings.zone, clock);
    const peers = new Map<NodeId, PeerConnection>(
      settings.others.map((o) => [o.node, this.peer(http, clock, o.endpoint)]),
    );
    const controller = (this.builds.get(n) ?? presentBuild).createController(file, {
      clock,
      random: this.random,
      http,
      log: this.log.child({ node: settings.node }),
      peers,
      processId: `run-${n}-${this.time.now}`,
    });
    this.network.attach(api, settings.zone, async (method, path, body) => {
      const bytes = body === undefined ? Buffer.alloc(0) : encode(body);
      if (path === '/up') return controller.health();
      const reply = await (path === '/agent/beat'
        ? controller.handleHeartbeat(bytes)
        : controller.handleUserRequest(method, path, bytes));
      return Buffer.isBuffer(reply.body) ? { ...reply, body: decode(reply.body) } : reply;
    });
    this.network.attach(settings.clusterEndpoint, settings.zone, (_method, _path, body) =>
      controller.handlePeerFrame(body as Buffer),
    );
    this.nodes.set(n, { clock, controller });
    controller.start();
  }

  private peer(
    http: ReturnType<Network['client']>,
    clock: ProcessClock,
    endpoint: Endpoint,
  ): PeerConnection {
    let silentUntil = 0;
    return {
      get isResponsive() {
        return clock.steady() >= silentUntil;
      },
      exchange: async (frame, timeout, read) => {
        const o = await http.send({ endpoint, method: 'POST', path: '/', body: frame, timeout });
        if (o.kind !== 'answer') {
          silentUntil = clock.steady() + 2000;
          return undefined;
        }
        return read(o.body as Buffer);
      },
    };
  }

  /** It ends, and comes back with this version after a while. */
  upgradeNode(n: number, back: number): void {
    this.killNode(n);
    this.builds.set(n, presentBuild);
    this.time.after(back, () => this.startNode(n));
  }

  /** Killed without a signal: nothing of it runs on, what it sent may still arrive. */
  killNode(n: number): void {
    const p = this.nodes.get(n);
    if (!p) return;
    p.clock.dead = true;
    p.controller.stop();
    this.nodes.delete(n);
    const s = parseSettings(settingsFile(n, this.zones));
    this.network.detach(s.apiEndpoint);
    this.network.detach(s.clusterEndpoint);
  }

  /** It stands still, with what it has in hand, while its clocks run on. */
  freezeNode(n: number, on: boolean): void {
    const p = this.nodes.get(n);
    if (!p) return;
    p.clock.freeze(on);
    const s = parseSettings(settingsFile(n, this.zones));
    this.network.hang(s.apiEndpoint, on);
    this.network.hang(s.clusterEndpoint, on);
  }

  leaderNode(): number | undefined {
    for (const [n, p] of this.nodes) {
      if (p.controller.hasAuthority()) return n;
    }
    return undefined;
  }

  async run(forMs: number): Promise<void> {
    await this.time.run(this.time.now + forMs);
  }

  // --- machines ---------------------------------------------------------------------------------

  private boot(m: Rented): void {
    const clock = new ProcessClock(this.time, (this.random() - 0.5) * 0.0005, 0);
    const nodes = [0, 1, 2].map((n) => {
      const s = parseSettings(settingsFile(n, this.zones));
      return { name: s.node, addr: s.apiEndpoint };
    });
    const worker = new Worker(
      m,
      this.cloud.flavor(m.build)?.cpus ?? 0,
      nodes,
      this.network.client(m.id, m.hall, clock),
      clock,
      this.random,
      { reportMs: this.settings.workers.heartbeatInterval, leaseMs: this.settings.workers.lease },
      this,
    );
    this.workers.set(m.id, { worker, machine: m });
    this.network.attach(m.addr, m.hall, (method, path, body) => worker.handle(method, path, body));
  }

  private gone(m: Rented): void {
    this.workers.get(m.id)?.worker.kill();
    this.workers.delete(m.id);
    this.network.detach(m.addr);
  }

  hangWorker(id: string, hung: boolean): void {
    const w = this.workers.get(id);
    if (!w) return;
    w.worker.hung = hung;
    this.network.hang(w.machine.addr, hung);
  }

  /** Gone and back at once, with nothing of what it knew. */
  restartWorker(id: string): void {
    this.workers.get(id)?.worker.restart();
  }

  /** Its reports arrive, but answers and commands don't reach it. */
  deafen(id: string, on: boolean): void {
    const w = this.workers.get(id);
    if (!w) return;
    this.network.deafen(id, on);
    this.network.deafen(w.machine.addr, on);
  }

  /** A controller loses the state service and the other controllers, but not workers and users. */
  isolate(n: number, refuse: boolean): void {
    const all = [0, 1, 2].map((k) => parseSettings(settingsFile(k, this.zones)));
    const clusters = new Set<string>(all.map((s) => s.clusterEndpoint));
    const own = all[n]?.clusterEndpoint;
    for (const s of all) {
      this.network.keepApart(
        s.node,
        s === all[n] ? (to) => to === STATE || clusters.has(to) : (to) => to === own,
        refuse,
      );
    }
  }

  reunite(): void {
    for (const n of [0, 1, 2]) this.network.reunite(`node-${n}`);
  }

  /** Connections between controllers are refused. */
  refusePeers(on: boolean): void {
    for (const n of [0, 1, 2]) this.network.refuse(`10.0.0.${n + 1}:8081`, on);
  }

  /** Its reports reach no controller, while direct commands still reach it. */
  mute(id: string, on: boolean): void {
    const apis = new Set<string>([0, 1, 2].map((n) => `10.0.0.${n + 1}:8080`));
    if (on) this.network.keepApart(id, (to) => apis.has(to), false);
    else this.network.reunite(id);
  }

  /** Requests to the state service, and their answers, take up to so much longer. */
  slowStore(ms: number): void {
    this.network.slow = ms <= 0 ? undefined : (to) => (to === STATE ? this.random() * ms : 0);
  }

  /** So large a share of the transactions gets no answer and is carried out after newer ones. */
  lateWrites(share: number): void {
    this.network.late =
      share <= 0
        ? undefined
        : (path) =>
            path === '/multi' && this.random() < share ? 2000 + this.random() * 10_000 : undefined;
  }

  /** Users call off so many jobs that run, within a fifth of a second; their machines hang meanwhile. */
  cancelNow(count: number, hangMs: number): void {
    const running = [...this.jobs].filter(([id, j]) => {
      return !this.users.isOver(j) && !j.abortAsked && this.machinesOf(id).length > 0;
    });
    const hung = new Set<string>();
    for (const [id, job] of running.slice(0, count)) {
      if (hangMs > 0) for (const m of this.machinesOf(id)) if (hung.size < 8) hung.add(m);
      this.time.after(this.random() * 200, () => this.users.cancel(id, job));
    }
    for (const m of hung) {
      this.hangWorker(m, true);
      this.time.after(hangMs, () => this.hangWorker(m, false));
    }
  }

  /** Of the jobs that end from now on, so large a share is called off at that very moment. */
  cancelAtEnd = 0;

  /** The machines that know of a task of a job, with its image or not. */
  placedOn(job: string): string[] {
    return [...this.workers]
      .filter(([, { worker }]) => worker.alive().some((e) => e.startsWith(`${job}/`)))
      .map(([id]) => id);
  }

  /** The machines that a job's tasks are on. */
  machinesOf(job: string): string[] {
    const out: string[] = [];
    for (const [e, on] of this.where) if (e.startsWith(`${job}/`)) out.push(...on);
    return out;
  }

  /** Of so large a share of the messages to controllers and workers a copy comes late, anywhere. */
  copies(share: number): void {
    const apis = [0, 1, 2].map((n) => `10.0.0.${n + 1}:8080`);
    this.network.copy =
      share <= 0
        ? undefined
        : (path, to) => {
            if (to === STATE || to === CLOUD || path === '/up' || this.random() >= share) return;
            const lease = this.settings.workers.lease;
            const any = apis[Math.floor(this.random() * apis.length)] ?? to;
            return {
              to: apis.includes(to) ? any : to,
              after: 1000 + this.random() * 2 * lease,
            };
          };
  }

  recall(id: string, inMs: number): void {
    const w = this.workers.get(id);
    if (!w) return;
    w.worker.recallAt = this.time.now + inMs;
    this.time.after(inMs, () => this.cloud.end(id));
  }

  // --- what workers see of jobs, and the rules --------------------------------------------------

  private parse(entry: string): { job: Known; index: number } | undefined {
    const [id = '', index = ''] = entry.split('/');
    const job = this.jobs.get(id);
    return job ? { job, index: Number(index) } : undefined;
  }

  facts(entry: string) {
    const t = this.parse(entry);
    if (!t) return undefined;
    return {
      vcpus: t.job.spec.cpus,
      ramGb: t.job.spec.memoryGb,
      runMs: t.job.runMs,
      fetchMs: t.job.spec.imageSizeGb * 2000,
      image: t.job.spec.image,
      saveMs:
        t.job.spec.checkpointIntervalSeconds > 0 ? t.job.spec.checkpointSeconds * 1000 : undefined,
      gang: t.job.gang,
    };
  }

  started(machine: string, entry: string): void {
    this.starts++;
    const on = this.where.get(entry) ?? new Set<string>();
    if (on.size > 0 && !on.has(machine)) {
      this.rule('ran_twice', `${entry} on ${machine} and ${[...on].join()}`);
    }
    on.add(machine);
    this.where.set(entry, on);
    const t = this.parse(entry);
    const m = this.cloud.machines.get(machine);
    if (!t || !m) return;
    const { spec: s } = t.job;
    const others = this.zonesOf(s.id, entry);
    const here = others.filter((z) => z === m.hall).length + 1;
    if (
      (s.machineTypes !== null && !s.machineTypes.includes(m.build)) ||
      (s.zone !== null && s.zone !== m.hall) ||
      (!s.allowSpot && m.spot) ||
      (s.singleZone && others.some((z) => z !== m.hall)) ||
      (s.spreadZones && here > Math.ceil(s.taskCount / 2))
    ) {
      this.rule('wrong_place', `${entry} on ${machine}`);
    }
    if (
      t.job.abortedAt !== undefined &&
      this.time.now - t.job.abortedAt > this.settings.workers.cancellationTime
    ) {
      this.rule('ran_cancelled', `${entry} started`);
    }
    let used = 0;
    for (const [e, machines] of this.where) {
      used += machines.size * (this.parse(e)?.job.spec.cpus ?? 0);
    }
    const most = this.settings.teams.get(s.team)?.maxCpus ?? 0;
    if (most > 0 && used > most) this.rule('quota', `${used} of ${most}`);
  }

  private zonesOf(job: string, except: string): string[] {
    const zones: string[] = [];
    for (const [e, machines] of this.where) {
      if (e === except || !e.startsWith(`${job}/`)) continue;
      for (const m of machines) zones.push(this.cloud.machines.get(m)?.hall ?? '');
    }
    return zones;
  }

  left(machine: string, entry: string): void {
    const on = this.where.get(entry);
    on?.delete(machine);
    if (on?.size === 0) this.where.delete(entry);
  }

  completed(entry: string): void {
    const t = this.parse(entry);
    if (!t) return;
    t.job.completed.add(t.index);
    const over = t.job.completed.size === t.job.spec.taskCount;
    if (over && this.cancelAtEnd > 0 && this.random() < this.cancelAtEnd) {
      this.users.cancel(t.job.spec.id, t.job);
    }
  }

  isCompleted(entry: string): boolean {
    const t = this.parse(entry);
    return t?.job.completed.has(t.index) ?? false;
  }

  private watchCancelled(): void {
    this.time.after(500, () => {
      for (const [entry] of this.where) {
        const at = this.parse(entry)?.job.abortedAt;
        if (at !== undefined && this.time.now - at > this.settings.workers.cancellationTime) {
          this.rule('ran_cancelled', `${entry} is still there`);
        }
      }
      this.watchCancelled();
    });
  }

  /** Whether some machine has room for one more task of a job that has none anywhere. */
  private waitsBesideRoom(id: string, job: Known): boolean {
    const { spec: s } = job;
    if (this.users.isOver(job) || !job.accepted || job.abortAsked) return false;
    const most = this.settings.teams.get(s.team)?.maxCpus ?? 0;
    let used = 0;
    // How many of its tasks the machines have room for, by zone.
    const room = new Map<string, number>();
    for (const { worker, machine } of this.workers.values()) {
      for (const e of worker.alive()) {
        if (e.startsWith(`${id}/`)) return false;
        used += this.parse(e)?.job.spec.cpus ?? 0;
      }
      const fits =
        worker.recallAt === undefined &&
        (s.machineTypes === null || s.machineTypes.includes(machine.build)) &&
        (s.zone === null || s.zone === machine.hall) &&
        (s.allowSpot || !machine.spot);
      if (!fits) continue;
      const zone = job.gang && s.singleZone ? machine.hall : '';
      room.set(zone, (room.get(zone) ?? 0) + Math.floor(worker.free() / s.cpus));
    }
    const least = job.gang ? s.taskCount : 1;
    const best = Math.max(0, ...room.values());
    return best >= least && (most <= 0 || used + least * s.cpus <= most);
  }

  private watchRoom(): void {
    this.time.after(1000, () => {
      const { now } = this.time;
      if (this.calmSince !== undefined) {
        for (const [id, job] of this.jobs) {
          if (!this.waitsBesideRoom(id, job)) job.besideRoomSince = undefined;
          else job.besideRoomSince ??= now;
          if (now - (job.besideRoomSince ?? now) <= WAITING_BESIDE_ROOM) continue;
          this.rule('left_waiting', `${id} beside a machine that has room`);
          job.besideRoomSince = undefined;
        }
      }
      this.watchRoom();
    });
  }

  private watchAnswers(): void {
    this.time.after(1000, () => {
      const { now } = this.time;
      this.users.asked = this.users.asked.filter((q) => now - q.at < UNANSWERED_AMONG_OTHERS);
      const most = this.users.asked.filter((q) => q.ok).length * 2 > this.users.asked.length;
      for (const [id, job] of this.jobs) {
        if (!job.accepted) continue;
        if (most && now - job.answeredAt > UNANSWERED_AMONG_OTHERS) {
          this.rule('forgotten', `${id}: unanswered while others are not`);
          job.answeredAt = now;
        }
        if (this.calmSince === undefined) continue;
        if (now - Math.max(job.answeredAt, this.calmSince) > UNANSWERED_IN_CALM) {
          this.rule('forgotten', `${id}: unanswered though all troubles are over`);
          job.answeredAt = now;
        }
      }
      this.watchAnswers();
    });
  }

  private rule(name: string, what: string): void {
    this.broken.push(`${name} at ${Math.round(this.time.now)}: ${what}`);
  }

  get jobs(): ReadonlyMap<string, Known> {
    return this.users.jobs;
  }
}
