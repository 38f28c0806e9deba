/** The quick start: runs the simulated services on loopback and writes a settings file for one controller. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { LoopbackServices } from './loopback-services.js';

const OUTPUT_FOLDER = 'target/quickstart';
const completedTasks = new Set<string>();

const services = new LoopbackServices({
  ports: { store: 12379, cloud: 18443, api: 18080, cluster: 18081, workers: 19000 },
  machineTypes: [
    {
      name: 'small',
      cpus: 8,
      gpus: 0,
      memoryGb: 32,
      cacheGb: 20,
      fetchGbPerSecond: 1,
      onDemandPrice: 0.4,
      spotPrice: 0.15,
      bootSeconds: 2,
      zones: ['a'],
    },
  ],
  capacity: 8,
  storeLimits: { requestRate: 80, writeRate: 15, valueBytes: 8192, transactionOps: 8 },
  cloudRequestRate: 2,
  taskEnvironment: {
    // The simulated workers run every task for three seconds, regardless of its specification.
    propertiesOf: () => ({ cpus: 0, runMs: 3000, fetchMs: 1000, image: 'any' }),
    onTaskStarted: (machine, task) => console.log(`${machine}: task ${task} started`),
    onTaskLeft: (machine, task) => console.log(`${machine}: task ${task} ended`),
    onTaskCompleted: (task) => completedTasks.add(task),
    isCompleted: (task) => completedTasks.has(task),
  },
  onMachineBooted: ({ id }) => console.log(`machine ${id} booted`),
  onMachineEnded: ({ id }) => console.log(`machine ${id} ended`),
});

mkdirSync(OUTPUT_FOLDER, { recursive: true });
writeFileSync(`${OUTPUT_FOLDER}/node-0.json`, JSON.stringify(services.settingsFile(), null, 2));
console.log(
  `simulated services are running; the settings file for a controller is ${OUTPUT_FOLDER}/node-0.json`,
);
