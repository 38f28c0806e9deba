/** The settings of a controller, which the platform provides. */
import { errorMessage } from '../units/errors.js';
import { Endpoint, ControllerId, seconds, type DurationMs } from '../units/index.js';
import { SettingsError, readSettingsText, toSettingsError } from './settings-error.js';
import { SettingsFile, findContradiction } from './settings-file.js';

/** The name of these settings in error messages. */
const SETTINGS_KIND = 'settings';

/** A team and its quota. A maximum of 0 means no limit. */
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
  /** The job class that the objective applies to; undefined: all. */
  readonly jobClass: string | undefined;
  readonly within: DurationMs | undefined;
  /** For deadlines: a factor on the job's stated deadline. */
  readonly deadlineFactor: number;
}

/** The limits of the state store. Rates are per second. */
export interface StoreLimits {
  readonly requestRate: number;
  readonly writeRate: number;
  readonly valueBytes: number;
  /** The most changes in one transaction. */
  readonly transactionOps: number;
}

/** Another controller. */
export interface OtherController {
  readonly controllerId: ControllerId;
  readonly endpoint: Endpoint;
}

/** The times that apply to workers. */
export interface WorkerTimes {
  readonly heartbeatInterval: DurationMs;
  readonly lease: DurationMs;
  /** The time within which a cancelled task must have ended. */
  readonly cancellationTime: DurationMs;
}

/** All settings that the platform provides. */
export interface Settings {
  readonly controllerId: ControllerId;
  readonly zone: string;
  /** The address where users and workers reach this controller. */
  readonly apiEndpoint: Endpoint;
  /** The address where the other controllers reach this controller. */
  readonly peerEndpoint: Endpoint;
  readonly otherControllers: readonly OtherController[];
  readonly cloudEndpoint: Endpoint;
  readonly storeEndpoint: Endpoint;
  /** The number of controllers, including this one. */
  readonly controllerCount: number;
  readonly teams: ReadonlyMap<string, Team>;
  readonly objectives: readonly Objective[];
  readonly workers: WorkerTimes;
  readonly storeLimits: StoreLimits & {
    /** The limits that apply from an unannounced time on; undefined if they do not change. */
    readonly next: StoreLimits | undefined;
  };
  readonly cloud: {
    /** Requests per second. */
    readonly requestRate: number;
    /** How far the list of machines may be out of date. */
    readonly listLag: DurationMs;
  };
  readonly limits: {
    /** The CPU share of this controller. */
    readonly cpu: number;
    readonly maxConnections: number;
  };
}

/** Validates settings that were read from a file. Throws a `SettingsError`. */
export function parseSettings(json: unknown): Settings {
  const parsed = SettingsFile.safeParse(json);
  if (!parsed.success) throw toSettingsError(parsed.error, SETTINGS_KIND);
  const file = parsed.data;
  const contradiction = findContradiction(file);
  if (contradiction !== undefined) throw new SettingsError(`${SETTINGS_KIND}: ${contradiction}`);
  const { params } = file;
  return {
    ...toControllerSettings(file),
    teams: new Map(params.teams.map((team) => [team.name, toTeam(team)])),
    objectives: params.objectives.map(toObjective),
    workers: {
      heartbeatInterval: seconds(params.workers.report_s),
      lease: seconds(params.workers.lease_s),
      cancellationTime: seconds(params.workers.cancel_s),
    },
    storeLimits: toStoreLimits(params.state),
    cloud: { requestRate: params.cloud.rps, listLag: seconds(params.cloud.list_lag_s) },
    limits: { cpu: params.limits.cpu, maxConnections: params.limits.max_connections },
  };
}

type Params = SettingsFile['params'];

type ControllerSettings = Pick<
  Settings,
  | 'controllerId'
  | 'zone'
  | 'apiEndpoint'
  | 'peerEndpoint'
  | 'otherControllers'
  | 'cloudEndpoint'
  | 'storeEndpoint'
  | 'controllerCount'
>;

const toControllerSettings = (file: SettingsFile): ControllerSettings => ({
  controllerId: ControllerId(file.node),
  zone: file.area,
  apiEndpoint: Endpoint(file.api_addr),
  peerEndpoint: Endpoint(file.cluster_listen),
  otherControllers: file.others.map(({ node, endpoint }) => ({
    controllerId: ControllerId(node),
    endpoint: Endpoint(endpoint),
  })),
  cloudEndpoint: Endpoint(file.endpoints.cloud),
  storeEndpoint: Endpoint(file.endpoints.state),
  controllerCount: file.params.nodes,
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
  deadlineFactor: objective.times ?? 1,
  within: objective.within_s === undefined ? undefined : seconds(objective.within_s),
});

function toStoreLimits(file: Params['state']): Settings['storeLimits'] {
  const now: StoreLimits = {
    requestRate: file.rps,
    writeRate: file.write_rps,
    valueBytes: toBytes(file.value_kb),
    transactionOps: file.txn_ops,
  };
  return { ...now, next: file.next ? toNextLimits(file.next, now) : undefined };
}

/** Limits that the announcement leaves out do not change. */
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
export function readSettingsFile(path: string): Settings {
  const text = readSettingsText(path, SETTINGS_KIND);
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`${SETTINGS_KIND}: ${path} is not JSON: ${errorMessage(error)}`, {
      cause: error,
    });
  }
  return parseSettings(json);
}
