/** The quick start: the stand-ins on loopback, and a settings file for one controller. */
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
    // The stand-in workers run every task for three seconds, whatever it asks for.
    propertiesOf: () => ({ cpus: 0, runMs: 3000, fetchMs: 1000, image: 'any' }),
    onTaskStarted: (machine, task) => console.log(`${machine}: ${task} runs`),
    onTaskLeft: (machine, task) => console.log(`${machine}: ${task} has ended`),
    onTaskCompleted: (task) => completedTasks.add(task),
    isCompleted: (task) => completedTasks.has(task),
  },
  onMachineBooted: ({ id }) => console.log(`${id} is up`),
  onMachineEnded: ({ id }) => console.log(`${id} is gone`),
});

mkdirSync(OUTPUT_FOLDER, { recursive: true });
writeFileSync(`${OUTPUT_FOLDER}/node-0.json`, JSON.stringify(services.settingsFile(), null, 2));
console.log(`stand-ins are up; settings for a controller are in ${OUTPUT_FOLDER}/node-0.json`);
