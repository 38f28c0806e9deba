/** The schema of the settings file that the platform provides (JSON). Unknown fields are ignored. */
import * as z from 'zod';

const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be an IPv4 address with a port');
const positive = z.number().positive();
const limit = z.number().nonnegative();
/** A field that may be null or missing; undefined in both cases. */
const optional = <Schema extends z.ZodType>(schema: Schema) =>
  schema.nullish().transform((value) => value ?? undefined);
/** A limit that defaults to 0, which means no limit. */
const optionalLimit = limit.nullish().transform((value) => value ?? 0);
/** The most changes in one transaction. Ending a job takes two: a put and a delete. */
const transactionOps = z.number().int().min(2);

const Team = z.object({
  name: z.string().min(1),
  cpus: optionalLimit,
  cpus_max: optionalLimit,
  gpus: optionalLimit,
  gpus_max: optionalLimit,
});

const Objective = z.looseObject({
  kind: z.string(),
  class: optional(z.string()),
  share: optional(z.number()),
  within_s: optional(z.number()),
  times: optional(z.number()),
});

const Workers = z.object({
  report_s: positive,
  lease_s: positive,
  gang_wait_s: optional(positive),
  gang_peer_s: optional(positive),
  cancel_s: positive,
});

/** Limits of the state store. */
const Store = z.object({
  rps: positive,
  write_rps: positive,
  value_kb: positive,
  txn_ops: transactionOps,
  next: optional(
    z.object({
      rps: optional(positive),
      write_rps: optional(positive),
      value_kb: optional(positive),
      txn_ops: optional(transactionOps),
    }),
  ),
});

/** The schema of the file. Numbers are finite; times are in seconds, or in milliseconds where the name ends in `_ms`. */
export const SettingsFile = z.object({
  node: z.string().min(1),
  area: z.string(),
  api_addr: address,
  cluster_listen: address,
  others: z.array(z.object({ node: z.string().min(1), area: z.string(), endpoint: address })),
  endpoints: z.object({ cloud: address, state: address }),
  params: z.object({
    nodes: z.number().int().positive(),
    zones: z.array(z.string()).min(1),
    teams: z.array(Team),
    objectives: z
      .array(Objective)
      .nullish()
      .transform((value) => value ?? []),
    workers: Workers,
    state: Store,
    cloud: z.object({ rps: positive, list_lag_s: limit }),
    limits: z.object({
      cpu: positive,
      ram_mb: positive,
      max_connections: z.number().int().min(32),
    }),
    time_bound_ms: limit,
  }),
});
export type SettingsFile = z.infer<typeof SettingsFile>;

/** Returns the first contradiction between fields, which the schema cannot check; undefined if there is none. */
export function findContradiction(file: SettingsFile): string | undefined {
  return findPeerContradiction(file) ?? findTeamContradiction(file) ?? findLeaseContradiction(file);
}

function findPeerContradiction({
  node,
  others,
  params,
  ...addresses
}: SettingsFile): string | undefined {
  const names = [node, ...others.map((other) => other.node)];
  if (new Set(names).size !== names.length) {
    return 'others: a controller is listed twice, or this controller itself is listed';
  }
  if (params.nodes !== names.length) {
    return `params.nodes: is ${params.nodes}, but node and others name ${names.length} controllers`;
  }
  if (addresses.api_addr === addresses.cluster_listen) {
    return 'cluster_listen: is the same address as api_addr';
  }
  return undefined;
}

function findTeamContradiction({ params }: SettingsFile): string | undefined {
  const isAbove = (guaranteed: number, max: number): boolean => max > 0 && guaranteed > max;
  for (const team of params.teams) {
    if (isAbove(team.cpus, team.cpus_max) || isAbove(team.gpus, team.gpus_max)) {
      return `params.teams: ${team.name} is guaranteed more than its limit`;
    }
  }
  return undefined;
}

function findLeaseContradiction({ params }: SettingsFile): string | undefined {
  const { cancel_s: cancellation, lease_s: lease } = params.workers;
  return cancellation <= lease ? 'params.workers.cancel_s: must exceed lease_s' : undefined;
}
