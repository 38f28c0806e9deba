/** Creates settings files for tests. */

/** Creates the content of a small settings file for one of several controllers. */
export function settingsFile(
  controller = 0,
  zones: readonly string[] = ['a', 'b', 'c'],
  controllerCount = 3,
) {
  const controllers = Array.from({ length: controllerCount }, (_, index) => index);
  const zoneOf = (index: number): string => zones[index % zones.length] ?? 'a';
  return {
    node: `node-${controller}`,
    area: zoneOf(controller),
    api_addr: `10.0.0.${controller + 1}:8080`,
    cluster_listen: `10.0.0.${controller + 1}:8081`,
    others: controllers
      .filter((other) => other !== controller)
      .map((other) => ({
        node: `node-${other}`,
        area: zoneOf(other),
        endpoint: `10.0.0.${other + 1}:8081`,
      })),
    endpoints: { cloud: '10.2.0.2:8443', state: '10.2.0.1:2379' },
    params: {
      nodes: controllerCount,
      zones: [...new Set(zones)],
      teams: [{ name: 'vision', cpus: 0, cpus_max: 24, gpus: 0, gpus_max: 0 }],
      objectives: [{ kind: 'deadline', class: 'train', share: 0.9, times: 1 }],
      workers: { report_s: 3, lease_s: 24, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 44 },
      state: { rps: 80, write_rps: 15, value_kb: 8, txn_ops: 8 },
      cloud: { rps: 2, list_lag_s: 3 },
      limits: { cpu: 0.2, ram_mb: 146, max_connections: 900 },
      time_bound_ms: 250,
    },
  };
}
