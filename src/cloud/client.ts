/**
 * The client of the cloud API, which rents and deletes machines. The result of each method tells whether the
 * cloud carried out the request; no response of the cloud makes a method throw.
 */
import type { HttpClient, HttpOutcome, HttpRequest } from '../net/http.js';
import { TokenBucket } from '../store/token-bucket.js';
import { MachineId, ms, type Clock, type DurationMs, type Endpoint } from '../units/index.js';
import {
  decodeMachinePage,
  decodeMachineTypes,
  decodeScaleOutResponse,
  encodeDeleteRequest,
  encodeScaleOutRequest,
  type ListedMachine,
  type MachineType,
  type ScaleOutRequest,
} from '../wire/index.js';

/** The maximum number of machines in one scale-out request. */
export const MAX_MACHINES_PER_REQUEST = 50;
/** The maximum number of machines in one delete request. */
export const MAX_MACHINES_PER_DELETE = 100;
const MACHINE_PAGE_SIZE = 500;
const REQUEST_TIMEOUT: DurationMs = ms(5000);
/** The share of the cloud's rate limit that the client uses. */
const USED_RATE_LIMIT_SHARE = 0.95;
/** The size of a burst after an idle period, in seconds of requests at the rate limit. */
const BURST_SECONDS = 1.8;

/** The result of a scale-out request. */
export type ScaleOutResult =
  /** Carried out, possibly with fewer machines than requested. */
  | { readonly kind: 'rented'; readonly machines: readonly MachineId[] }
  /** Refused: the cloud currently has no machine of this type, zone and price model. */
  | { readonly kind: 'noCapacity' }
  /** Refused as invalid, so a retry can't succeed. */
  | { readonly kind: 'malformed' }
  /** Not carried out, or unknown: to be retried under the same request id. */
  | { readonly kind: 'retry'; readonly reason: string };

/**
 * Sends requests to the cloud over HTTP, within its rate limit: callers check `canSendRequest` first and try
 * again later if it is false. Every request ends within its timeout.
 */
export class CloudClient {
  private readonly bucket: TokenBucket;

  /** `requestsPerSecond`: the rate limit of the cloud for all requests together. */
  constructor(
    private readonly http: HttpClient,
    private readonly endpoint: Endpoint,
    clock: Clock,
    requestsPerSecond: number,
  ) {
    const burst = Math.max(1, requestsPerSecond * BURST_SECONDS);
    this.bucket = new TokenBucket(clock, requestsPerSecond * USED_RATE_LIMIT_SHARE, burst);
  }

  /** Whether the rate limit allows a request now. */
  canSendRequest(): boolean {
    return this.bucket.waitFor(1) <= 0;
  }

  /** The machine types that can be rented; undefined if the request failed. */
  async listMachineTypes(): Promise<readonly MachineType[] | undefined> {
    const outcome = await this.send({ method: 'GET', path: '/flavors' });
    if (outcome.kind !== 'response' || outcome.status !== 200) return undefined;
    return decodeMachineTypes(outcome.body);
  }

  /** Rents machines. Idempotent: a retry under a request id that was carried out rents nothing more. */
  async scaleOut(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const outcome = await this.send({
      method: 'POST',
      path: '/machines',
      body: encodeScaleOutRequest(request),
    });
    if (outcome.kind !== 'response') return { kind: 'retry', reason: outcome.reason };
    const { status, body } = outcome;
    if (status === 200) {
      const machines = decodeScaleOutResponse(body);
      if (machines) return { kind: 'rented', machines: machines.map(MachineId) };
    }
    const error = (body as { error?: unknown } | undefined)?.error;
    if (status === 503 && error === 'no capacity') return { kind: 'noCapacity' };
    if (status === 400) return { kind: 'malformed' };
    return { kind: 'retry', reason: `status ${status}` };
  }

  /**
   * Deletes machines. Returns true if the cloud has confirmed that they are gone. After false they may still be
   * deleted at any time, since the request may have arrived.
   */
  async deleteMachines(machines: readonly MachineId[]): Promise<boolean> {
    const outcome = await this.send({
      method: 'POST',
      path: '/machines/delete',
      body: encodeDeleteRequest(machines),
    });
    return outcome.kind === 'response' && outcome.status === 200;
  }

  /** Reads all pages of the cloud's machine list, which lags behind; undefined unless every page was read. */
  async listMachines(): Promise<readonly ListedMachine[] | undefined> {
    const machines: ListedMachine[] = [];
    let from: string | undefined;
    for (;;) {
      const query = from === undefined ? '' : `from=${from}&`;
      const path = `/machines?${query}limit=${MACHINE_PAGE_SIZE}`;
      const outcome = await this.send({ method: 'GET', path });
      if (outcome.kind !== 'response' || outcome.status !== 200) return undefined;
      const page = decodeMachinePage(outcome.body);
      if (!page) return undefined;
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.hasNext || !last) return machines;
      from = last.id;
    }
  }

  private async send(
    request: Omit<HttpRequest, 'endpoint' | 'timeout' | 'pool'>,
  ): Promise<HttpOutcome> {
    this.bucket.forceTake(1);
    const outcome = await this.http.send({
      ...request,
      pool: 'cloud',
      endpoint: this.endpoint,
      timeout: REQUEST_TIMEOUT,
    });
    // Status 429 (too many requests): the cloud has counted more requests than this client.
    if (outcome.kind === 'response' && outcome.status === 429) this.bucket.drain();
    return outcome;
  }
}
