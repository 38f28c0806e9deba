/** The client of the state store: reads, compare-and-swap transactions, leases and watches. */
import type { HttpClient, HttpOutcome, HttpRequest } from '../net/http.js';
import {
  Revision,
  ms,
  sleep,
  type Clock,
  type DurationMs,
  type Endpoint,
  type Random,
  type SteadyMs,
} from '../units/index.js';
import {
  decodeConflictingKeys,
  decodeLeaseId,
  decodeRevision,
  decodeStoredValue,
  decodeValuePage,
  decodeWatchedChanges,
  encodeLeaseRequest,
  encodeTransaction,
  type StoreCondition,
  type StoreWrite,
} from '../wire/index.js';
import { RequestQueue } from './request-queue.js';
import { StoreMetrics } from './store-metrics.js';
import { RevisionHistory } from './revision-history.js';
import { RateBudget, type Role, type StoreRateLimits } from './rate-budget.js';
import type {
  CommitResult,
  ListItem,
  ListResult,
  PageResult,
  ReadResult,
  RenewalResult,
  WatchResult,
} from './results.js';

/** Small, so that a process with little CPU time can do other work between pages, above all renew its lease. */
const PAGE_SIZE = 40;
/** How much longer than the watch itself its response may take. */
const WATCH_MARGIN_MS = 3000;

/** How a request is sent. */
export interface RequestOptions {
  /** Sent at once, regardless of the rate budget, on separate connections: for leases and the leader key. */
  readonly urgent?: boolean;
  /**
   * Sent as soon as the rate budget allows, ahead of the queue, on separate connections: for recovery after a failover.
   * The store would reject what exceeds its rate, and lease renewals with it.
   */
  readonly aheadOfQueue?: boolean;
  /** How long the request may wait in the queue; by default without limit. */
  readonly queueTimeout?: DurationMs;
}

/** The dependencies and limits of a `StoreClient`. */
export interface StoreClientOptions {
  readonly http: HttpClient;
  readonly endpoint: Endpoint;
  readonly clock: Clock;
  readonly random: Random;
  readonly limits: StoreRateLimits;
  /** How many controllers share the rates. */
  readonly controllerCount: number;
}

/** Sends requests to the state store within this controller's share of its rates. */
export class StoreClient {
  private readonly http: HttpClient;
  private readonly endpoint: Endpoint;
  private readonly clock: Clock;
  private readonly budget: RateBudget;
  private readonly queue: RequestQueue;
  private lastResponseTime: SteadyMs;
  private lastContactTime: SteadyMs;
  private readonly revisions = new RevisionHistory();
  /** The outcomes of all requests. */
  readonly metrics = new StoreMetrics();

  constructor({ http, endpoint, clock, random, limits, controllerCount }: StoreClientOptions) {
    this.http = http;
    this.endpoint = endpoint;
    this.clock = clock;
    this.budget = new RateBudget(clock, limits, controllerCount);
    this.queue = new RequestQueue(this.budget, clock, random);
    this.lastResponseTime = clock.steady();
    this.lastContactTime = this.lastResponseTime;
  }

  /** When the store last sent a response other than 503 (unavailable). */
  get lastResponseAt(): SteadyMs {
    return this.lastResponseTime;
  }

  /** When the store last sent any response: 503 during an outage, nothing if this controller can't reach it. */
  get lastContactAt(): SteadyMs {
    return this.lastContactTime;
  }

  /** A time by which the store had reached a revision that one of its responses has shown. */
  reachedBy(revision: Revision): SteadyMs {
    return this.revisions.reachedBy(revision, this.clock.steady());
  }

  private recordRevision(revision: number | undefined): void {
    if (revision !== undefined) this.revisions.record(Revision(revision), this.clock.steady());
  }

  /** Adapts this controller's share of the rates to its role. */
  setRole(role: Role): void {
    this.budget.setRole(role);
  }

  /** Applies the announced rates from now on, where they are lower than the current ones. */
  lowerRates(): void {
    this.budget.lowerRates();
  }

  /** The approximate time until `count` more writes have been sent, in as many transactions as necessary. */
  writeBacklog(count: number): DurationMs {
    return this.budget.writeBacklog(count);
  }

  /** How long a transaction of `count` writes has to wait for rate tokens. */
  writeWait(count: number): DurationMs {
    return this.budget.waitFor(count);
  }

  /** How many writes may be sent now, and what share of a full burst that is. */
  availableWriteTokens(): { readonly count: number; readonly share: number } {
    return this.budget.availableWriteTokens();
  }

  private async send(
    request: Omit<HttpRequest, 'endpoint' | 'pool'>,
    options: RequestOptions = {},
    writes = 0,
  ): Promise<HttpOutcome> {
    if (!(await this.waitForTurn(options, writes))) {
      this.metrics.recordRefusal(requestName(request.path));
      return { kind: 'undelivered', reason: 'rate budget exhausted until the queue timeout' };
    }
    const outcome = await this.http.send({
      ...request,
      pool: options.urgent || options.aheadOfQueue ? 'lease' : 'store',
      endpoint: this.endpoint,
    });
    this.metrics.record(requestName(request.path), outcome);
    if (outcome.kind !== 'response') return outcome;
    this.lastContactTime = this.clock.steady();
    if (outcome.status !== 503) this.lastResponseTime = this.lastContactTime;
    if (outcome.status === 429) this.budget.onThrottled(writes);
    return outcome;
  }

  /** Takes the tokens for a request once it may be sent. False if it would wait in the queue for too long. */
  private async waitForTurn(
    { urgent, aheadOfQueue, queueTimeout = ms(Infinity) }: RequestOptions,
    writes: number,
  ): Promise<boolean> {
    if (!urgent && !aheadOfQueue) return this.queue.waitForTurn(writes, queueTimeout);
    const wait = this.budget.waitFor(writes);
    if (!urgent && wait > 0) await sleep(this.clock, wait);
    this.budget.forceTake(writes);
    return true;
  }

  /** Reads one key. */
  async get(key: string, timeout: DurationMs, options: RequestOptions = {}): Promise<ReadResult> {
    const outcome = await this.send({ method: 'GET', path: `/store/${key}`, timeout }, options);
    if (outcome.kind !== 'response') return { kind: 'failed', reason: outcome.reason };
    if (outcome.status === 404) {
      this.recordRevision(decodeRevision(outcome.body));
      return { kind: 'absent' };
    }
    const value = outcome.status === 200 ? decodeStoredValue(outcome.body) : undefined;
    if (!value) return { kind: 'failed', reason: `status ${outcome.status}` };
    this.recordRevision(value.revision);
    const { data, leaseId } = value;
    return { kind: 'found', data, revision: Revision(value.revision), leaseId };
  }

  /** Reads every key under a prefix, page by page; undefined if a page could not be read. */
  async list(
    prefix: string,
    timeout: DurationMs,
    options: RequestOptions = {},
  ): Promise<ListResult | undefined> {
    const items: ListItem[] = [];
    let after: string | undefined;
    for (;;) {
      const page = await this.listPage(prefix, after, timeout, options);
      if (page.kind === 'failed') return undefined;
      items.push(...page.items);
      if (page.next === undefined) return { items, revision: page.revision };
      after = page.next;
    }
  }

  /** Reads the first keys under a prefix that follow the key `after`. */
  async listPage(
    prefix: string,
    after: string | undefined,
    timeout: DurationMs,
    options: RequestOptions = {},
  ): Promise<PageResult> {
    // Keys contain no characters that must be escaped in a query.
    const from = after === undefined ? '' : `&from=${after}`;
    const path = `/store?starts=${prefix}${from}&limit=${PAGE_SIZE}`;
    const outcome = await this.send({ method: 'GET', path, timeout }, options);
    if (outcome.kind !== 'response') return { kind: 'failed', reason: outcome.reason };
    const page = outcome.status === 200 ? decodeValuePage(outcome.body) : undefined;
    if (!page) return { kind: 'failed', reason: `status ${outcome.status}` };
    this.recordRevision(page.revision);
    const items = page.values.map((value) => ({ ...value, revision: Revision(value.revision) }));
    const next = page.hasNext ? items.at(-1)?.key : undefined;
    return { kind: 'page', items, revision: Revision(page.revision), next };
  }

  /** Applies all writes if all conditions hold, otherwise none. */
  async transact(
    conditions: readonly StoreCondition[],
    writes: readonly StoreWrite[],
    timeout: DurationMs,
    options: RequestOptions = {},
  ): Promise<CommitResult> {
    const body = encodeTransaction(conditions, writes);
    const outcome = await this.send(
      { method: 'POST', path: '/multi', body, timeout },
      options,
      writes.length,
    );
    const result = toCommitResult(outcome);
    if (result.kind === 'committed') this.recordRevision(result.revision);
    return result;
  }

  /** Creates a lease and returns its id; undefined if it is not known to have been granted. */
  async createLease(ttl: DurationMs, timeout: DurationMs): Promise<number | undefined> {
    const outcome = await this.send(
      { method: 'POST', path: '/leases', body: encodeLeaseRequest(Math.round(ttl)), timeout },
      { urgent: true },
    );
    if (outcome.kind !== 'response' || outcome.status !== 200) return undefined;
    return decodeLeaseId(outcome.body);
  }

  /** Renews a lease for its full duration. */
  async renewLease(lease: number, timeout: DurationMs): Promise<RenewalResult> {
    const outcome = await this.send(
      { method: 'POST', path: `/leases/${lease}/touch`, body: {}, timeout },
      { urgent: true },
    );
    if (outcome.kind !== 'response') return 'failed';
    if (outcome.status === 200) return 'renewed';
    return outcome.status === 404 ? 'gone' : 'failed';
  }

  /** Ends a lease and deletes its keys. If the request is lost, the lease expires by itself. */
  async revokeLease(lease: number, timeout: DurationMs): Promise<void> {
    await this.send({ method: 'DELETE', path: `/leases/${lease}`, timeout }, { urgent: true });
  }

  /** Waits at most `wait` for a change under a prefix that is later than the revision `from`. */
  async watch(prefix: string, from: Revision, wait: DurationMs): Promise<WatchResult> {
    const outcome = await this.send({
      method: 'GET',
      path: `/follow?starts=${prefix}&from=${from}&wait_ms=${Math.round(wait)}`,
      timeout: ms(wait + WATCH_MARGIN_MS),
    });
    if (outcome.kind !== 'response') return 'failed';
    if (outcome.status === 410) return 'stale';
    return outcome.status === 200 && decodeWatchedChanges(outcome.body) ? 'changed' : 'failed';
  }
}

/** The name under which a request is counted. */
function requestName(path: string): string {
  if (path.startsWith('/store/')) return 'get';
  if (path.startsWith('/store?')) return 'list';
  if (path.startsWith('/follow')) return 'watch';
  return path === '/multi' ? 'transact' : 'lease';
}

/** Converts the outcome of a request into the result of its transaction. */
function toCommitResult(outcome: HttpOutcome): CommitResult {
  if (outcome.kind === 'unknown') return { kind: 'unknown', reason: outcome.reason };
  if (outcome.kind === 'undelivered') return { kind: 'refused', reason: outcome.reason };
  const { status, body } = outcome;
  switch (status) {
    case 200: {
      const revision = decodeRevision(body);
      if (revision !== undefined) return { kind: 'committed', revision: Revision(revision) };
      return { kind: 'unknown', reason: 'unreadable response' };
    }
    case 409:
      return { kind: 'conflict', failed: decodeConflictingKeys(body) ?? [] };
    case 400:
      return { kind: errorOf(body) === 'no such lease' ? 'leaseExpired' : 'tooLarge' };
    case 429:
    case 503:
      return { kind: 'refused', reason: `status ${status} ${errorOf(body)}` };
    default:
      return { kind: 'unknown', reason: `status ${status}` };
  }
}

/** The error text of a response body; empty if it has none. */
function errorOf(body: unknown): string {
  const error = (body as { error?: unknown } | undefined)?.error;
  return typeof error === 'string' ? error : '';
}
