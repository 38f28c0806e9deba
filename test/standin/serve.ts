import { mkdirSync, writeFileSync } from 'node:fs';
import { Loopback } from './loopback.js';

/** The quick start: the stand-ins on loopback and a settings file for one controller. */
const DIR = 'target/quickstart';
const completed = new Set<string>();

const loopback = new Loopback({
  ports: { state: 12379, cloud: 18443, api: 18080, cluster: 18081, workers: 19000 },
  flavors: [
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
  cloudRps: 2,
  jobs: {
    // The stand-in workers run every task for three seconds, whatever it asks for.
    facts: () => ({ vcpus: 0, ramGb: 0, runMs: 3000, fetchMs: 1000, image: 'any' }),
    started: (machine, entry) => console.log(`${machine}: ${entry} runs`),
    left: (machine, entry) => console.log(`${machine}: ${entry} has ended`),
    completed: (entry) => completed.add(entry),
    isCompleted: (entry) => completed.has(entry),
  },
  came: (m) => console.log(`${m.id} is up`),
  went: (m) => console.log(`${m.id} is gone`),
});

mkdirSync(DIR, { recursive: true });
writeFileSync(`${DIR}/node-0.json`, JSON.stringify(loopback.settings(), null, 2));
console.log(`stand-ins are up; settings for a controller are in ${DIR}/node-0.json`);
