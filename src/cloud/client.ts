/**
 * The client of the cloud API, which rents machines and takes them back. A call reports by the type of
 * its result whether the cloud carried it out; it throws for no answer of the cloud.
 */
import type { HttpClient, Outcome, Request } from '../net/http.js';
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

/** The most machines that one scale-out request may ask for. */
export const MAX_MACHINES_PER_REQUEST = 50;
/** The most machines that one delete request may name. */
export const MAX_MACHINES_PER_DELETE = 100;
const MACHINE_PAGE_SIZE = 500;
const REQUEST_TIMEOUT: DurationMs = ms(5000);
/** Calls stay below the cloud's rate limit by the rest of this share. */
const USED_RATE_LIMIT_SHARE = 0.95;
/** How many seconds' worth of calls may leave at once after a pause. */
const BURST_SECONDS = 1.8;

/** How the cloud answered a request for machines. */
export type ScaleOutResult =
  /** Carried out; possibly with fewer machines than requested. */
  | { readonly kind: 'rented'; readonly machines: readonly MachineId[] }
  /** Refused: it has no machine of this type, zone and kind now. */
  | { readonly kind: 'noCapacity' }
  /** Refused as invalid: repeating it is of no use. */
  | { readonly kind: 'malformed' }
  /** Not carried out, or unknown whether it was: to be repeated under the same request id. */
  | { readonly kind: 'retry'; readonly reason: string };

/**
 * Calls the cloud over HTTP, within its rate limit: callers ask `isReady` first and come back later
 * if it is not. Every call ends within its timeout.
 */
export class CloudClient {
  private readonly bucket: TokenBucket;

  /** `callsPerSecond`: the rate limit of the cloud for all calls together. */
  constructor(
    private readonly http: HttpClient,
    private readonly endpoint: Endpoint,
    clock: Clock,
    requestsPerSecond: number,
  ) {
    const burst = Math.max(1, requestsPerSecond * BURST_SECONDS);
    this.bucket = new TokenBucket(clock, requestsPerSecond * USED_RATE_LIMIT_SHARE, burst);
  }

  /** Whether the rate limit allows a call now. */
  canSendRequest(): boolean {
    return this.bucket.waitFor(1) <= 0;
  }

  /** The machine types that can be rented; undefined if the cloud did not answer with them. */
  async listMachineTypes(): Promise<readonly MachineType[] | undefined> {
    const outcome = await this.send({ method: 'GET', path: '/flavors' });
    if (outcome.kind !== 'answer' || outcome.status !== 200) return undefined;
    return decodeMachineTypes(outcome.body);
  }

  /** Rents machines. Idempotent: a repeat of a request id that was carried out rents nothing more. */
  async scaleOut(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const outcome = await this.send({
      method: 'POST',
      path: '/machines',
      body: encodeScaleOutRequest(request),
    });
    if (outcome.kind !== 'answer') return { kind: 'retry', reason: outcome.reason };
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
   * Gives machines back; true once the cloud has confirmed that they are gone. After false they may
   * still go at any time, since the request may have arrived.
   */
  async deleteMachines(machines: readonly MachineId[]): Promise<boolean> {
    const outcome = await this.send({
      method: 'POST',
      path: '/machines/delete',
      body: encodeDeleteRequest(machines),
    });
    return outcome.kind === 'answer' && outcome.status === 200;
  }

  /** All pages of the cloud's list, which lags behind; undefined unless every page was read. */
  async listMachines(): Promise<readonly ListedMachine[] | undefined> {
    const machines: ListedMachine[] = [];
    let from: string | undefined;
    for (;;) {
      const query = from === undefined ? '' : `from=${from}&`;
      const path = `/machines?${query}limit=${MACHINE_PAGE_SIZE}`;
      const outcome = await this.send({ method: 'GET', path });
      if (outcome.kind !== 'answer' || outcome.status !== 200) return undefined;
      const page = decodeMachinePage(outcome.body);
      if (!page) return undefined;
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.hasNext || !last) return machines;
      from = last.id;
    }
  }

  private async send(request: Omit<Request, 'endpoint' | 'timeout' | 'lane'>): Promise<Outcome> {
    this.bucket.forceTake(1);
    const outcome = await this.http.send({
      ...request,
      lane: 'cloud',
      endpoint: this.endpoint,
      timeout: REQUEST_TIMEOUT,
    });
    // Too many requests: the cloud has counted more calls than we have.
    if (outcome.kind === 'answer' && outcome.status === 429) this.bucket.drain();
    return outcome;
  }
}
