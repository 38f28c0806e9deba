/** The quick start: the stand-ins on loopback, and a settings file for one controller. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { Loopback } from './loopback.js';

const FOLDER = 'target/quickstart';
const completed = new Set<string>();

const loopback = new Loopback({
  ports: { state: 12379, cloud: 18443, api: 18080, cluster: 18081, workers: 19000 },
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
  state: { requestRate: 80, writeRate: 15, valueBytes: 8192, transactionOps: 8 },
  cloudRate: 2,
  tasks: {
    // The stand-in workers run every task for three seconds, whatever it asks for.
    facts: () => ({ cpus: 0, runMs: 3000, fetchMs: 1000, image: 'any' }),
    onTaskStarted: (machine, task) => console.log(`${machine}: ${task} runs`),
    onTaskLeft: (machine, task) => console.log(`${machine}: ${task} has ended`),
    onTaskCompleted: (task) => completed.add(task),
    isCompleted: (task) => completed.has(task),
  },
  onMachineUp: ({ id }) => console.log(`${id} is up`),
  onMachineGone: ({ id }) => console.log(`${id} is gone`),
});

mkdirSync(FOLDER, { recursive: true });
writeFileSync(`${FOLDER}/node-0.json`, JSON.stringify(loopback.settingsFile(), null, 2));
console.log(`stand-ins are up; settings for a controller are in ${FOLDER}/node-0.json`);
