/** The settings of the simulated controllers, and the addresses of the services that they use. */
import { parseSettings, type Settings } from '../../src/config/settings.js';
import { settingsFile } from '../support/settings-file.js';

/** The indexes of the controllers of a cluster with the default number of them: `node-0`, `node-1` and `node-2`. */
export const CONTROLLERS = [0, 1, 2] as const;

/** The default zones of a simulated cluster. */
export const ZONES = ['a', 'b', 'c'] as const;

/** The address of the store. */
export const STORE_ADDRESS = '10.2.0.1:2379';
/** The address of the cloud API. */
export const CLOUD_ADDRESS = '10.2.0.2:8443';

/** The default of `maxCpus`. */
const DEFAULT_MAX_CPUS = 24;

/** The settings that a simulated cluster can override. */
export interface ClusterSettingsOptions {
  readonly zones?: readonly string[];
  /** The most processors of the only team; 0 for no limit. */
  readonly maxCpus?: number;
  /** How many controllers there are; as many as `CONTROLLERS` by default. */
  readonly controllerCount?: number;
  /** The share of a processor that each controller has. */
  readonly controllerCpu?: number;
  /** The future limits of the store that the settings announce. */
  readonly announcedStoreLimits?: { value_kb: number; txn_ops: number; write_rps: number };
}

/** The settings of all controllers. */
export class ClusterSettings {
  readonly zones: readonly string[];
  /** The indexes of the controllers. */
  readonly controllers: readonly number[];
  private readonly byController: readonly Settings[];

  constructor(private readonly options: ClusterSettingsOptions) {
    this.zones = options.zones ?? ZONES;
    const { controllerCount = CONTROLLERS.length } = options;
    this.controllers = Array.from({ length: controllerCount }, (_, index) => index);
    this.byController = this.controllers.map((controller) =>
      parseSettings(this.fileOf(controller)),
    );
  }

  /** The settings file of a controller. */
  fileOf(controller: number): object {
    const { maxCpus = DEFAULT_MAX_CPUS, controllerCpu, announcedStoreLimits } = this.options;
    const file = settingsFile(controller, this.zones, this.controllers.length);
    const teams = file.params.teams.map((team) => ({ ...team, cpus_max: maxCpus }));
    const limits = { ...file.params.limits, cpu: controllerCpu ?? file.params.limits.cpu };
    const state = { ...file.params.state, next: announcedStoreLimits };
    return { ...file, params: { ...file.params, teams, limits, state } };
  }

  /** The parsed settings of a controller. */
  of(controller: number): Settings {
    const settings = this.byController[controller];
    if (!settings) throw new RangeError(`there is no controller ${controller}`);
    return settings;
  }

  /** The parsed settings of all controllers, in the order of `controllers`. */
  get all(): readonly Settings[] {
    return this.byController;
  }
}
