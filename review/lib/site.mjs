/** The numbers of the sites that the cases play, as the site files and the brief state them, and submissions. */

/** "Kigali court cause list scheduler" (kit/more/cause-list-kigali-ops.toml): three controllers in one zone. */
export const kigali = {
  settings: {
    controllers: 3,
    zones: ['umusozi'],
    teams: [{ name: 'registry-desk', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    objectives: [],
    workers: { report_s: 3, lease_s: 21, gang_wait_s: 30, gang_peer_s: 8, cancel_s: 41 },
    state: { rps: 150, write_rps: 60, value_kb: 16, txn_ops: 32 },
    cloud: { rps: 1.5, list_lag_s: 12 },
    limits: { cpu: 0.255, ram_mb: 242, max_connections: 1800 },
  },
  storeLatencyMs: 6,
  cloudLatencyMs: 100,
  machineTypes: [
    {
      name: 'ndogo',
      cpus: 8,
      gpus: 0,
      memoryGb: 32,
      cacheGb: 70,
      fetchGbPerSecond: 0.4,
      onDemandPrice: 0.5,
      spotPrice: 0.22,
      // "At times machines are up within a second or two", so that the case need not wait for boots.
      bootSeconds: 2,
      zones: ['umusozi'],
    },
  ],
};

/** "Pampa Acquiring merged settlement cluster" (kit/sites/pampa-acquiring.toml): three controllers in three zones. */
export const pampa = {
  settings: {
    controllers: 3,
    zones: ['serra-east', 'pampa-west', 'litoral-south'],
    teams: [{ name: 'ledger-ops', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    objectives: [],
    workers: { report_s: 3, lease_s: 24, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 44 },
    state: { rps: 80, write_rps: 15, value_kb: 8, txn_ops: 8 },
    cloud: { rps: 2, list_lag_s: 3 },
    limits: { cpu: 0.17, ram_mb: 146, max_connections: 900 },
  },
  storeLatencyMs: 2,
  cloudLatencyMs: 80,
  machineTypes: [
    {
      name: 'small-boxes',
      cpus: 8,
      gpus: 0,
      memoryGb: 32,
      cacheGb: 30,
      fetchGbPerSecond: 0.4,
      onDemandPrice: 0.43,
      spotPrice: 0.13,
      bootSeconds: 2,
      zones: ['serra-east', 'pampa-west', 'litoral-south'],
    },
  ],
};

/** A submission as a user sends it, with these fields changed. */
export const submission = (changes) => ({
  name_id: 'run-000001',
  docket: 'hearing-lists',
  desk: 'registry-desk',
  shape: 'sweep',
  urgency: 'normal',
  entries: 1,
  vcpus: 4,
  gpus: 0,
  ram_gb: 3.5,
  bundle: 'img-01',
  size_gb: 0.2,
  builds: null,
  hall: null,
  together: false,
  apart: false,
  loaners: true,
  expected_s: 100,
  stamp_every_s: 0,
  stamp_s: 0,
  due_s: null,
  ...changes,
});
