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

export const MAX_MACHINES_PER_REQUEST = 50;
export const MAX_MACHINES_PER_DELETE = 100;
const PAGE_SIZE = 500;
const CALL_TIMEOUT: DurationMs = ms(5000);

export type ScaleOutResult =
  | { kind: 'rented'; machines: readonly MachineId[] }
  | { kind: 'noCapacity' }
  | { kind: 'malformed' }
  /** Not carried out, or not known: to be repeated under the same name. */
  | { kind: 'retry'; why: string };

/** The cloud that rents machines. Calls leave under its rate; whoever finds no turn asks later. */
export class CloudClient {
  private readonly bucket: TokenBucket;

  constructor(
    private readonly http: HttpClient,
    private readonly endpoint: Endpoint,
    clock: Clock,
    rps: number,
  ) {
    this.bucket = new TokenBucket(clock, rps * 0.95, Math.max(1, rps * 1.8));
  }

  /** Whether a call may leave now. */
  isReady(): boolean {
    return this.bucket.waitFor(1) <= 0;
  }

  private async send(request: Omit<Request, 'endpoint' | 'timeout' | 'lane'>): Promise<Outcome> {
    this.bucket.forceTake(1);
    const o = await this.http.send({
      ...request,
      lane: 'cloud',
      endpoint: this.endpoint,
      timeout: CALL_TIMEOUT,
    });
    if (o.kind === 'answer' && o.status === 429) this.bucket.drain();
    return o;
  }

  async machineTypes(): Promise<readonly MachineType[] | undefined> {
    const o = await this.send({ method: 'GET', path: '/flavors' });
    if (o.kind !== 'answer' || o.status !== 200) return undefined;
    return decodeMachineTypes(o.body);
  }

  async scaleOut(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const o = await this.send({
      method: 'POST',
      path: '/machines',
      body: encodeScaleOutRequest(request),
    });
    if (o.kind !== 'answer') return { kind: 'retry', why: o.reason };
    if (o.status === 200) {
      const machines = decodeScaleOutResponse(o.body);
      if (machines) return { kind: 'rented', machines: machines.map(MachineId) };
    }
    const error = (o.body as { error?: unknown } | undefined)?.error;
    if (o.status === 503 && error === 'no capacity') return { kind: 'noCapacity' };
    if (o.status === 400) return { kind: 'malformed' };
    return { kind: 'retry', why: `status ${o.status}` };
  }

  /** True once the cloud has said that the machines are gone. */
  async deleteMachines(machines: readonly MachineId[]): Promise<boolean> {
    const o = await this.send({
      method: 'POST',
      path: '/machines/delete',
      body: encodeDeleteRequest(machines),
    });
    return o.kind === 'answer' && o.status === 200;
  }

  async listMachines(): Promise<readonly ListedMachine[] | undefined> {
    const machines: ListedMachine[] = [];
    let from: string | undefined;
    for (;;) {
      const query = from === undefined ? '' : `from=${from}&`;
      const o = await this.send({ method: 'GET', path: `/machines?${query}limit=${PAGE_SIZE}` });
      if (o.kind !== 'answer' || o.status !== 200) return undefined;
      const page = decodeMachinePage(o.body);
      if (!page) return undefined;
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.hasNext || !last) return machines;
      from = last.id;
    }
  }
}
