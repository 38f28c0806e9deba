/** The settings of a controller, as the platform hands them over. */
import { messageOf } from '../units/errors.js';
import { Endpoint, NodeId, seconds, type DurationMs } from '../units/index.js';
import { SettingsError, readText, settingsErrorOf } from './input.js';
import { SettingsFile, findContradiction } from './settings-file.js';

/** How settings are named in errors. */
const KIND = 'settings';

/** A team and its quota; a maximum of 0 is none. */
export interface Team {
  readonly name: string;
  readonly guaranteedCpus: number;
  readonly maxCpus: number;
  readonly guaranteedGpus: number;
  readonly maxGpus: number;
}

/** A service-level objective. */
export interface Objective {
  /** `wait`, `finished`, `deadline`, or a kind that this version does not know. */
  readonly kind: string;
  /** The class of the jobs that it is set for; undefined: all. */
  readonly jobClass: string | undefined;
  readonly within: DurationMs | undefined;
  /** For deadlines: by how many times the stated one. */
  readonly times: number;
}

/** The limits of the state service. Rates are per second. */
export interface StoreLimits {
  readonly requestRate: number;
  readonly writeRate: number;
  readonly valueBytes: number;
  /** Changes in one transaction. */
  readonly transactionOps: number;
}

/** Another controller. */
export interface OtherNode {
  readonly node: NodeId;
  readonly endpoint: Endpoint;
}

/** The times that workers keep. */
export interface WorkerTimes {
  readonly heartbeatInterval: DurationMs;
  readonly lease: DurationMs;
  /** Within this time a cancelled task must be gone. */
  readonly cancellationTime: DurationMs;
}

/** Everything that the platform sets. */
export interface Settings {
  readonly node: NodeId;
  readonly zone: string;
  /** Where users and workers reach this node. */
  readonly apiEndpoint: Endpoint;
  /** Where the other controllers reach this node. */
  readonly clusterEndpoint: Endpoint;
  readonly others: readonly OtherNode[];
  readonly cloudEndpoint: Endpoint;
  readonly storeEndpoint: Endpoint;
  /** How many controllers there are. */
  readonly nodes: number;
  readonly teams: ReadonlyMap<string, Team>;
  readonly objectives: readonly Objective[];
  readonly workers: WorkerTimes;
  readonly state: StoreLimits & {
    /** The limits from an unannounced moment on; undefined if they stay. */
    readonly next: StoreLimits | undefined;
  };
  readonly cloud: {
    /** Requests per second. */
    readonly requestRate: number;
    /** By how much the list of machines may be out of date. */
    readonly listLag: DurationMs;
  };
  readonly limits: {
    /** The share of a processor that this node has. */
    readonly cpu: number;
    readonly maxConnections: number;
  };
}

/** Checks settings that were read from a file. Throws a `SettingsError`. */
export function parseSettings(json: unknown): Settings {
  const parsed = SettingsFile.safeParse(json);
  if (!parsed.success) throw settingsErrorOf(parsed.error, KIND);
  const file = parsed.data;
  const contradiction = findContradiction(file);
  if (contradiction !== undefined) throw new SettingsError(`${KIND}: ${contradiction}`);
  const { params } = file;
  return {
    ...toNodes(file),
    teams: new Map(params.teams.map((team) => [team.name, toTeam(team)])),
    objectives: params.objectives.map(toObjective),
    workers: {
      heartbeatInterval: seconds(params.workers.report_s),
      lease: seconds(params.workers.lease_s),
      cancellationTime: seconds(params.workers.cancel_s),
    },
    state: toStoreLimits(params.state),
    cloud: { requestRate: params.cloud.rps, listLag: seconds(params.cloud.list_lag_s) },
    limits: { cpu: params.limits.cpu, maxConnections: params.limits.max_connections },
  };
}

type Params = SettingsFile['params'];

type Nodes = Pick<
  Settings,
  | 'node'
  | 'zone'
  | 'apiEndpoint'
  | 'clusterEndpoint'
  | 'others'
  | 'cloudEndpoint'
  | 'storeEndpoint'
  | 'nodes'
>;

const toNodes = (file: SettingsFile): Nodes => ({
  node: NodeId(file.node),
  zone: file.area,
  apiEndpoint: Endpoint(file.api_addr),
  clusterEndpoint: Endpoint(file.cluster_listen),
  others: file.others.map(({ node, endpoint }) => ({
    node: NodeId(node),
    endpoint: Endpoint(endpoint),
  })),
  cloudEndpoint: Endpoint(file.endpoints.cloud),
  storeEndpoint: Endpoint(file.endpoints.state),
  nodes: file.params.nodes,
});

const toTeam = (team: Params['teams'][number]): Team => ({
  name: team.name,
  guaranteedCpus: team.cpus,
  maxCpus: team.cpus_max,
  guaranteedGpus: team.gpus,
  maxGpus: team.gpus_max,
});

const toObjective = (objective: Params['objectives'][number]): Objective => ({
  kind: objective.kind,
  jobClass: objective.class,
  times: objective.times ?? 1,
  within: objective.within_s === undefined ? undefined : seconds(objective.within_s),
});

function toStoreLimits(file: Params['state']): Settings['state'] {
  const now: StoreLimits = {
    requestRate: file.rps,
    writeRate: file.write_rps,
    valueBytes: toBytes(file.value_kb),
    transactionOps: file.txn_ops,
  };
  return { ...now, next: file.next ? toNextLimits(file.next, now) : undefined };
}

/** What the limits to come leave out stays as it is. */
const toNextLimits = (
  next: NonNullable<Params['state']['next']>,
  now: StoreLimits,
): StoreLimits => ({
  requestRate: next.rps ?? now.requestRate,
  writeRate: next.write_rps ?? now.writeRate,
  valueBytes: next.value_kb === undefined ? now.valueBytes : toBytes(next.value_kb),
  transactionOps: next.txn_ops ?? now.transactionOps,
});

const toBytes = (kilobytes: number): number => Math.floor(kilobytes * 1024);

/** Reads the settings file. Throws a `SettingsError`. */
export function readSettings(path: string): Settings {
  const text = readText(path, KIND);
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`${KIND}: ${path} is not JSON: ${messageOf(error)}`, { cause: error });
  }
  return parseSettings(json);
}
