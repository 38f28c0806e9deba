/** Whether a submitted job can ever run in this cluster. Every controller reaches the same verdict. */
import type { Feasibility } from '../cloud/feasibility.js';
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { Team } from '../config/settings.js';
import { TASK_COUNT_FIELD, type JobSpec } from '../wire/index.js';
import { isGang } from './job.js';
import type { RecordLimits } from './record-limits.js';

/** Checks submissions against the size limit of records, the machine types and the limits of the teams. */
export class AdmissionControl {
  constructor(
    private readonly catalog: MachineCatalog,
    private readonly teams: ReadonlyMap<string, Team>,
    private readonly recordLimits: RecordLimits,
  ) {}

  check(spec: JobSpec): Feasibility {
    // A gang is placed in one transaction, so all its tasks have to fit into one record as placed tasks.
    const openTasks = isGang(spec) ? spec.taskCount : 1;
    if (!this.recordLimits.canStoreRecord(spec, openTasks)) {
      return {
        kind: 'infeasible',
        reason: `${TASK_COUNT_FIELD}: its record would exceed the limits of the state service`,
      };
    }
    return this.catalog.checkFeasibility(spec, this.teams);
  }
}
