/** The platform of a world: its nodes, their settings, and the addresses of the services around them. */
import { parseSettings, type Settings } from '../../src/config/settings.js';
import { settingsFile } from '../support/settings.js';

/** The nodes that controllers run on. */
export const CONTROLLERS = [0, 1, 2] as const;

/** The zones of a world that does not name its own. */
export const ZONES = ['a', 'b', 'c'] as const;

/** Where controllers find the state service. */
export const STORE_ADDRESS = '10.2.0.1:2379';
/** Where they find the cloud. */
export const CLOUD_ADDRESS = '10.2.0.2:8443';

/** The limit of the one team, unless a world sets another. */
const DEFAULT_MAX_CPUS = 24;

/** What a world may change of the settings of its nodes. */
export interface ClusterSettingsOptions {
  readonly zones?: readonly string[];
  /** The most processors of its one team; 0: no limit. */
  readonly maxCpus?: number;
  /** The share of a processor that a controller has. */
  readonly controllerCpu?: number;
  /** The limits that the settings announce for the state service. */
  readonly announcedStoreLimits?: { value_kb: number; txn_ops: number; write_rps: number };
}

/** The settings of all nodes. */
export class ClusterSettings {
  readonly zones: readonly string[];
  private readonly byController: readonly Settings[];

  constructor(private readonly options: ClusterSettingsOptions) {
    this.zones = options.zones ?? ZONES;
    this.byController = CONTROLLERS.map((node) => parseSettings(this.fileOf(node)));
  }

  /** The settings file of a node. */
  fileOf(controller: number): object {
    const {
      maxCpus = DEFAULT_MAX_CPUS,
      controllerCpu,
      announcedStoreLimits: nextStateLimits,
    } = this.options;
    const file = settingsFile(controller, this.zones);
    const teams = file.params.teams.map((team) => ({ ...team, cpus_max: maxCpus }));
    const limits = { ...file.params.limits, cpu: controllerCpu ?? file.params.limits.cpu };
    const state = { ...file.params.state, next: nextStateLimits };
    return { ...file, params: { ...file.params, teams, limits, state } };
  }

  /** The settings of a node. */
  of(controller: number): Settings {
    const settings = this.byController[controller];
    if (!settings) throw new RangeError(`there is no node ${controller}`);
    return settings;
  }

  /** The settings of all nodes, in the order of `NODES`. */
  get all(): readonly Settings[] {
    return this.byController;
  }
}
