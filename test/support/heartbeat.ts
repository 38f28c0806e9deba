/** Creates heartbeats for unit tests. */
import type { Heartbeat } from '../../src/wire/index.js';

/** Creates the first heartbeat of a machine without tasks, with these fields changed. */
export const heartbeatOf = (machine: string, change: Partial<Heartbeat> = {}): Heartbeat => ({
  machine,
  address: '10.1.0.1:9000',
  machineType: 'small',
  zone: 'a',
  spot: true,
  session: 1,
  sequence: 1,
  fencingToken: 0,
  reclaimNoticeSeconds: null,
  tasks: [],
  ...change,
});
