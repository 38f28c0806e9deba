import { readFileSync } from 'node:fs';
import * as z from 'zod';
import { Endpoint, NodeId, ms, seconds, type DurationMs } from '../units/index.js';

/** The file that the platform hands over. Fields it does not know are ignored. */
const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be an IPv4 address with a port');
const positive = z.number().finite().positive();
const limit = z.number().finite().nonnegative();
/** The end of a job is a put and a delete in one transaction. */
const changes = z.number().int().min(2);

/** How quickly the tasks of a gang notice that one of them is gone, where the platform does not say. */
const DEFAULT_GANG_PEER_S = 4;

const File = z.object({
  node: z.string().min(1),
  area: z.string(),
  api_addr: address,
  cluster_listen: address,
  others: z.array(z.object({ node: z.string().min(1), area: z.string(), endpoint: address })),
  endpoints: z.object({ cloud: address, state: address }),
  params: z.object({
    nodes: z.number().int().positive(),
    zones: z.array(z.string()).min(1),
    teams: z.array(
      z.object({
        name: z.string().min(1),
        cpus: limit.nullish().transform((v) => v ?? 0),
        cpus_max: limit.nullish().transform((v) => v ?? 0),
        gpus: limit.nullish().transform((v) => v ?? 0),
        gpus_max: limit.nullish().transform((v) => v ?? 0),
      }),
    ),
    objectives: z
      .array(
        z.looseObject({
          kind: z.string(),
          class: z.string().nullish(),
          share: z.number().nullish(),
          within_s: z.number().nullish(),
          times: z.number().nullish(),
        }),
      )
      .nullish()
      .transform((v) => v ?? []),
    workers: z.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive.nullish(),
      gang_peer_s: positive.nullish(),
      cancel_s: positive,
    }),
    state: z.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: changes,
      next: z
        .object({
          rps: positive.nullish(),
          write_rps: positive.nullish(),
          value_kb: positive.nullish(),
          txn_ops: changes.nullish(),
        })
        .nullish(),
    }),
    cloud: z.object({ rps: positive, list_lag_s: limit }),
    limits: z.object({
      cpu: positive,
      ram_mb: positive,
      max_connections: z.number().int().min(32),
    }),
    time_bound_ms: limit,
  }),
});

export interface Team {
  readonly name: string;
  readonly guaranteedCpus: number;
  readonly maxCpus: number;
  readonly guaranteedGpus: number;
  readonly maxGpus: number;
}

export interface Objective {
  readonly kind: string;
  readonly jobClass: string | undefined;
  readonly within: DurationMs | undefined;
  /** Of a deadline: by how many times the stated one. */
  readonly times: number;
}

/** What the state service takes. */
export interface StoreLimits {
  readonly requestRate: number;
  readonly writeRate: number;
  readonly valueBytes: number;
  readonly transactionOps: number;
}

export interface Settings {
  readonly node: NodeId;
  readonly zone: string;
  readonly apiEndpoint: Endpoint;
  readonly clusterEndpoint: Endpoint;
  readonly others: readonly { node: NodeId; area: string; endpoint: Endpoint }[];
  readonly cloudEndpoint: Endpoint;
  readonly storeEndpoint: Endpoint;
  readonly nodes: number;
  readonly zones: readonly string[];
  readonly teams: ReadonlyMap<string, Team>;
  readonly objectives: readonly Objective[];
  readonly workers: {
    readonly heartbeatInterval: DurationMs;
    readonly lease: DurationMs;
    /** Within this time the tasks of a gang notice that one of them is gone. */
    readonly gangPeer: DurationMs;
    readonly cancellationTime: DurationMs;
  };
  readonly state: StoreLimits & {
    /** Its limits from a moment on that nobody announces; undefined if they stay. */
    readonly next: StoreLimits | undefined;
  };
  readonly cloud: { readonly rps: number; readonly listLag: DurationMs };
  readonly limits: {
    readonly cpu: number;
    readonly ramMb: number;
    readonly maxConnections: number;
  };
  readonly timeBound: DurationMs;
}

type StateFile = z.infer<typeof File>['params']['state'];

const stateLimits = (file: Omit<StateFile, 'next'>): StoreLimits => ({
  requestRate: file.rps,
  writeRate: file.write_rps,
  valueBytes: Math.floor(file.value_kb * 1024),
  transactionOps: file.txn_ops,
});

/** The limits to come; what they leave out stays as it is. */
function nextLimits({ next }: StateFile, now: StoreLimits): StoreLimits | undefined {
  if (!next) return undefined;
  return {
    requestRate: next.rps ?? now.requestRate,
    writeRate: next.write_rps ?? now.writeRate,
    valueBytes:
      next.value_kb === null || next.value_kb === undefined
        ? now.valueBytes
        : Math.floor(next.value_kb * 1024),
    transactionOps: next.txn_ops ?? now.transactionOps,
  };
}

/** What is wrong with a settings file, in one line that names the field. */
export class SettingsError extends Error {}

export function parseSettings(json: unknown): Settings {
  const parsed = File.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw new SettingsError(
      `settings: ${issue?.path.join('.') || 'file'}: ${issue?.message ?? 'invalid'}`,
    );
  }
  const f = parsed.data;
  const names = [f.node, ...f.others.map((o) => o.node)];
  if (new Set(names).size !== names.length) {
    throw new SettingsError('settings: others: a node is named twice, or names this node');
  }
  if (f.params.nodes !== names.length) {
    throw new SettingsError(
      `settings: params.nodes: says ${f.params.nodes}, but node and others name ${names.length}`,
    );
  }
  if (f.api_addr === f.cluster_listen) {
    throw new SettingsError('settings: cluster_listen: is the same address as api_addr');
  }
  for (const t of f.params.teams) {
    if ((t.cpus_max > 0 && t.cpus > t.cpus_max) || (t.gpus_max > 0 && t.gpus > t.gpus_max)) {
      throw new SettingsError(
        `settings: params.teams: ${t.name} is guaranteed more than its limit`,
      );
    }
  }
  const w = f.params.workers;
  const state = stateLimits(f.params.state);
  if (w.cancel_s <= w.lease_s) {
    throw new SettingsError('settings: params.workers.cancel_s: must exceed lease_s');
  }
  return {
    node: NodeId(f.node),
    zone: f.area,
    apiEndpoint: Endpoint(f.api_addr),
    clusterEndpoint: Endpoint(f.cluster_listen),
    others: f.others.map((o) => ({
      node: NodeId(o.node),
      area: o.area,
      endpoint: Endpoint(o.endpoint),
    })),
    cloudEndpoint: Endpoint(f.endpoints.cloud),
    storeEndpoint: Endpoint(f.endpoints.state),
    nodes: f.params.nodes,
    zones: f.params.zones,
    teams: new Map(
      f.params.teams.map((t) => [
        t.name,
        {
          name: t.name,
          guaranteedCpus: t.cpus,
          maxCpus: t.cpus_max,
          guaranteedGpus: t.gpus,
          maxGpus: t.gpus_max,
        },
      ]),
    ),
    objectives: f.params.objectives.map((o) => ({
      kind: o.kind,
      jobClass: o.class ?? undefined,
      times: o.times ?? 1,
      within: o.within_s === null || o.within_s === undefined ? undefined : seconds(o.within_s),
    })),
    workers: {
      heartbeatInterval: seconds(w.report_s),
      lease: seconds(w.lease_s),
      gangPeer: seconds(w.gang_peer_s ?? DEFAULT_GANG_PEER_S),
      cancellationTime: seconds(w.cancel_s),
    },
    state: { ...state, next: nextLimits(f.params.state, state) },
    cloud: { rps: f.params.cloud.rps, listLag: seconds(f.params.cloud.list_lag_s) },
    limits: {
      cpu: f.params.limits.cpu,
      ramMb: f.params.limits.ram_mb,
      maxConnections: f.params.limits.max_connections,
    },
    timeBound: ms(f.params.time_bound_ms),
  };
}

export function readSettings(path: string): Settings {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (e) {
    throw new SettingsError(`settings: cannot read ${path}: ${(e as Error).message}`);
  }
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (e) {
    throw new SettingsError(`settings: ${path} is not JSON: ${(e as Error).message}`);
  }
  return parseSettings(json);
}
