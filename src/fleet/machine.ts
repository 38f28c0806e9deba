import { TaskState, type Heartbeat, type TaskStatus } from '../wire/index.js';
import {
  later,
  stretched,
  ms,
  parseTaskKey,
  taskKey,
  type DurationMs,
  type Endpoint,
  type Epoch,
  type JobId,
  type MachineId,
  type NodeId,
  type SteadyMs,
  type TaskKey,
} from '../units/index.js';
import { ImageCache } from './images.js';
import type { Resources } from './resources.js';

/** After so many answers in a row that it did not heed, a machine counts as deaf. */
const MAX_UNHEEDED_REPLIES = 2;
/** Beyond the drift of clocks: how much later than computed we call a worker's lease expired. */
const LEASE_MARGIN = ms(500);

export interface AssignedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: number;
  readonly resources: Resources;
  readonly image: string;
  readonly placedAt: SteadyMs;
}

/** What is in use on a machine, or may be. */
export interface Load {
  readonly used: Resources;
  /** Something runs there whose size nobody knows. */
  readonly hasUnknownTasks: boolean;
  /** Images under way to it. */
  readonly imagesBeingFetched: ReadonlySet<string>;
}

/** What kind of machine it is, and where. */
export interface MachineKind {
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Which of two messages of a worker is the newer one. */
export interface MessageOrder {
  readonly session: number;
  readonly sequence: number;
}

/** A worker's report, wherever it came from. */
export interface WorkerStatus extends MessageOrder {
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: number;
  /** How long until the cloud takes the machine away, if it has said so. */
  readonly reclaimNotice: DurationMs | undefined;
  readonly tasks: readonly TaskStatus[];
  /** The tasks by attempt, so that each is found without a look at all. */
  readonly byAttempt: ReadonlyMap<string, TaskStatus>;
  /** By which a follower refers to it when a later report shows the same; none if it came another way. */
  readonly baseline?: number;
}

export const attemptKey = (entry: string, attempt: number): string => `${entry}#${attempt}`;

export const toWorkerStatus = (
  b: Pick<Heartbeat, 'session' | 'sequence' | 'fencingToken' | 'reclaimNoticeSeconds' | 'tasks'>,
): WorkerStatus => ({
  session: b.session,
  sequence: b.sequence,
  fencingToken: b.fencingToken,
  reclaimNotice:
    b.reclaimNoticeSeconds === null || b.reclaimNoticeSeconds === undefined
      ? undefined
      : ms(b.reclaimNoticeSeconds * 1000),
  tasks: b.tasks,
  byAttempt: new Map(b.tasks.map((e) => [attemptKey(e.task, e.attempt), e])),
});

/**
 * A machine as this leader knows it: what is placed on it by record (and may be there), what its
 * newest report showed, and what may still arrive there.
 */
export class Machine {
  address: Endpoint | undefined;
  /** The other node that its reports come through; none if they come straight to the leader. */
  relayNode: NodeId | undefined;
  status: WorkerStatus | undefined;
  /** Sessions before this one are certainly over; what they send is stale. */
  minSession = 0;
  /** Heard from under this epoch, and not given up since. */
  isUp = false;
  lastHeardAt: SteadyMs | undefined;
  /** When the worker's lease has certainly run out, unless it is answered again. */
  leaseExpiresAt: SteadyMs;
  /** When the cloud will take it away, by its own word. */
  reclaimAt: SteadyMs | undefined;
  /** To be given back or given up: no new tasks. */
  isReturning = false;
  /** A delete was sent and may be carried out at any time. */
  deleteSent = false;
  rentedAt: SteadyMs | undefined;
  listedAt: SteadyMs | undefined;
  missedLists = 0;
  bootingSince: SteadyMs | undefined;
  /** First listed as running, without having been heard from. */
  listedRunningSince: SteadyMs | undefined;
  idleSince: SteadyMs | undefined;
  /** Refused or failed starts hold the machine back for a while. */
  quarantinedUntil = 0 as SteadyMs;
  failureCount = 0;
  commandsPausedUntil = 0 as SteadyMs;
  commandInFlight = false;
  /** Reports in a row that show nothing of what the answers to earlier ones told it. */
  private unheededReplies = 0;
  /** Since when it is taken to hear nothing: its reports arrive, but not what it is told. */
  notReceivingSince: SteadyMs | undefined;
  /** When it last said what was older than what we knew. */
  staleStatusAt: SteadyMs | undefined;
  /** When it was last asked straight whether it hears us. */
  probedAt: SteadyMs | undefined;
  private readonly tasks = new Map<TaskKey, AssignedTask>();
  private cachedLoad: Load | undefined;
  /** Attempts whose start was sent directly and not answered: it may still arrive. */
  readonly unacknowledgedStarts = new Set<string>();
  /** Attempts of this session whose start was sent straight and carried out, and when they ended. */
  readonly acknowledgedStarts = new Map<string, { ended: SteadyMs | undefined }>();
  readonly images: ImageCache;
  /** What another leader knew of its images has been taken in. */
  imageHintsTaken = false;

  constructor(
    readonly id: MachineId,
    /** Unknown (empty) for a machine that only a record names, until it is listed or reports. */
    public kind: MachineKind,
    cacheGb: number,
    expires: SteadyMs,
  ) {
    this.leaseExpiresAt = expires;
    this.images = new ImageCache(cacheGb);
  }

  /** What records place here: it may be here until there is proof that it is not. */
  get assignments(): ReadonlyMap<TaskKey, AssignedTask> {
    return this.tasks;
  }

  assign(key: TaskKey, task: AssignedTask): void {
    this.tasks.set(key, task);
    this.cachedLoad = undefined;
    this.idleSince = undefined;
  }

  unassign(key: TaskKey): void {
    if (this.tasks.delete(key)) this.cachedLoad = undefined;
  }

  noteImageUse(image: string, gb: number): void {
    if (!this.images.has(image)) this.cachedLoad = undefined;
    this.images.use(image, gb);
  }

  /** Worked out anew only after something has changed: it is asked for far more often. */
  load(sizeOf: (job: JobId) => Resources | undefined): Load {
    this.cachedLoad ??= loadOf(this, sizeOf);
    return this.cachedLoad;
  }

  isNewer(r: WorkerStatus): boolean {
    return r.session >= this.minSession && (!this.status || isAfter(r, this.status));
  }

  /** Takes a report in; false if it is older than what we know. */
  recordStatus(r: WorkerStatus, now: SteadyMs): boolean {
    if (!this.isNewer(r)) {
      this.staleStatusAt = now;
      return false;
    }
    // A new session has dropped the tasks of the old one and refuses its commands.
    if (this.status && r.session > this.status.session) this.endSession();
    this.status = r;
    this.cachedLoad = undefined;
    this.isUp = true;
    this.lastHeardAt = now;
    this.bootingSince = undefined;
    // By the newest word alone: a late copy may have shown a notice that is not this machine's any more.
    if (r.reclaimNotice === undefined) this.reclaimAt = undefined;
    else {
      const at = later(now, r.reclaimNotice);
      if (this.reclaimAt === undefined || at < this.reclaimAt) this.reclaimAt = at;
    }
    return true;
  }

  /**
   * The machine was back so soon that nobody missed it, and counts its sessions or messages from the
   * start again: all that it says would count as old. `r` answers a request of ours, so it is new.
   */
  noteRestarted(r: WorkerStatus, now: SteadyMs): void {
    this.status = undefined;
    this.minSession = r.session;
    this.recordStatus(r, now);
  }

  /** What was told in an answer came to nothing. One answer may get lost; several in a row do not. */
  noteUnheeded(now: SteadyMs): void {
    this.unheededReplies++;
    if (this.unheededReplies >= MAX_UNHEEDED_REPLIES) this.notReceivingSince ??= now;
  }

  noteReceiving(): void {
    this.unheededReplies = 0;
    this.notReceivingSince = undefined;
  }

  /** A 200 was given to a report whose lease has certainly run out by then. */
  extendLease(expires: SteadyMs): void {
    if (expires > this.leaseExpiresAt) this.leaseExpiresAt = expires;
  }

  /** The lease has certainly expired: the session is over, with all its tasks. */
  expireLease(): void {
    if (this.status) this.minSession = this.status.session + 1;
    this.status = undefined;
    this.cachedLoad = undefined;
    this.isUp = false;
    this.endSession();
  }

  /** The session before is over: nothing that was sent to it is carried out any more. */
  private endSession(): void {
    this.unacknowledgedStarts.clear();
    this.acknowledgedStarts.clear();
  }

  /** Heard of only by reports from before an epoch, which may be late copies from a machine long gone. */
  isUnconfirmed(epoch: Epoch): boolean {
    return this.status !== undefined && this.status.fencingToken < epoch;
  }

  /** Unsure, and not there when it was told something. */
  isUnconfirmedAndUnreachable(epoch: Epoch, now: SteadyMs): boolean {
    return this.commandsPausedUntil > now && this.isUnconfirmed(epoch);
  }

  /** Takes no new tasks, and those that are not there yet go elsewhere. */
  get isDraining(): boolean {
    return this.isReturning || this.reclaimAt !== undefined || this.notReceivingSince !== undefined;
  }
}

/** Which of two messages of a worker is the newer one. */
export function isAfter(a: MessageOrder, b: MessageOrder): boolean {
  return a.session > b.session || (a.session === b.session && a.sequence > b.sequence);
}

/** What may be on a machine: all that records place there, and all that it reports beside. */
export function loadOf(m: Machine, sizeOf: (job: JobId) => Resources | undefined): Load {
  let cpus = 0;
  let gpus = 0;
  let ramGb = 0;
  let unknown = false;
  const fetching = new Set<string>();
  const add = (s: Resources): void => {
    cpus += s.cpus;
    gpus += s.gpus;
    ramGb += s.memoryGb;
  };
  for (const [key, a] of m.assignments) {
    add(a.resources);
    if (m.images.has(a.image)) continue;
    const e = m.status?.byAttempt.get(attemptKey(key, a.attempt));
    if (!e || e.state === TaskState.fetching) fetching.add(a.image);
  }
  for (const e of m.status?.tasks ?? []) {
    if (e.state === TaskState.exited) continue;
    const ref = parseTaskKey(e.task);
    if (ref && m.assignments.get(taskKey(ref.job, ref.index))?.attempt === e.attempt) continue;
    const size = ref && sizeOf(ref.job);
    if (size) add(size);
    else unknown = true;
  }
  return {
    used: { cpus, gpus, memoryGb: ramGb },
    hasUnknownTasks: unknown,
    imagesBeingFetched: fetching,
  };
}

export const workerLeaseEnd = (from: SteadyMs, lease: DurationMs): SteadyMs =>
  later(from, ms(stretched(lease) + LEASE_MARGIN));

/**
 * Whether a report proves that an attempt is not on the machine and can't come there any more.
 * `sent`: the report whose answer last carried its start, which a worker carries out before it
 * reports again or never. `inherited`: an earlier leader may have sent it straight to the worker,
 * which refuses that once it has seen our epoch. Only reports of their own (beats) count against
 * `sent`: answers to commands overtake the answer to a report that is under way.
 */
export function isProvenAbsent(
  report: WorkerStatus,
  beat: boolean,
  key: string,
  attempt: number,
  how: {
    readonly inherited: boolean;
    readonly sent: MessageOrder | undefined;
  },
  doubts: ReadonlySet<string>,
  epoch: Epoch,
): boolean {
  const own = attemptKey(key, attempt);
  const e = report.byAttempt.get(own);
  if (e && e.state !== TaskState.exited) return false;
  if (doubts.has(own)) return false;
  if (how.inherited && report.fencingToken < epoch) return false;
  if (how.sent) {
    if (report.session > how.sent.session) return true;
    return beat && report.sequence > how.sent.sequence;
  }
  return true;
}
