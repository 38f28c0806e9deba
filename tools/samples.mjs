/**
 * Sample messages and jobs that `record-production.mjs` encodes with another version: every kind of message, with and
 * without optional fields.
 */

const fullHeartbeat = {
  box: 'vm-000231',
  addr: '10.1.0.232:9000',
  build: 'g8',
  hall: 'a',
  loaners: true,
  shift: 3,
  tally: 88,
  baton: 41,
  recall_s: 12.5,
  entries: [
    { entry: 'run-000412/3', try: 2, status: 'running', cause: null, kept: null },
    { entry: 'run-000398/0', try: 1, status: 'exited', cause: 'halted', kept: true },
  ],
};
const minimalHeartbeat = { ...fullHeartbeat, recall_s: null, entries: [] };
const orders = [
  { verb: 'launch', entry: 'run-000412/4', try: 2 },
  { verb: 'kill', entry: 'run-000377/1', try: 1, wind_down_s: 10 },
  { verb: 'clear', entry: 'run-000398/0', try: 1 },
];
const status = { leader: 'worker-1', epoch: 5_000_000_000, storeReachable: true };

/** Requests of each kind between controllers. */
export const requests = [
  { type: 'heartbeat', status },
  { type: 'heartbeat', status: { leader: '', epoch: 0, storeReachable: false } },
  {
    type: 'imageHints',
    machines: [{ machine: 'vm-000231', images: [{ name: 'img-07', gb: 6.2 }] }],
  },
  { type: 'jobNotice', job: 'run-000412' },
  { type: 'submitJob', body: Buffer.from('a1616101', 'hex') },
  { type: 'readJob', job: 'run-000412' },
  { type: 'cancelJob', job: 'run-000412' },
  {
    type: 'reports',
    node: 'worker-2',
    epoch: 41,
    reports: [
      { kind: 'full', report: fullHeartbeat },
      { kind: 'full', report: minimalHeartbeat },
      {
        kind: 'unchanged',
        machine: 'vm-000232',
        session: 1,
        sequence: 9,
        token: 41,
        unchangedSince: 17,
      },
    ],
  },
  { type: 'command', address: '10.1.0.232:9000', token: 41, session: 3, timeoutMs: 2500, orders },
];

/** Responses of each kind between controllers. */
export const responses = [
  { type: 'status', status },
  { type: 'acknowledged', ok: true },
  { type: 'userResponse', status: 201, retryAfter: 0, body: Buffer.from('a0', 'hex') },
  {
    type: 'reportResponses',
    epoch: 41,
    responses: [
      { outcome: 'accepted', baseline: 18, orders },
      { outcome: 'refused', baseline: 0, orders: [] },
      { outcome: 'baselineUnknown', baseline: 0, orders: [] },
    ],
  },
  { type: 'commandResult', outcome: 'answered', why: '', report: fullHeartbeat },
  { type: 'commandResult', outcome: 'unknown', why: 'no response', report: null },
];

const spec = {
  name_id: 'run-000412',
  docket: 'train',
  desk: 'vision',
  shape: 'sweep',
  urgency: 'high',
  entries: 60,
  vcpus: 2,
  gpus: 0,
  ram_gb: 4,
  bundle: 'img-07',
  size_gb: 6.2,
  builds: ['g8'],
  hall: null,
  together: true,
  apart: false,
  loaners: true,
  expected_s: 240,
  stamp_every_s: 30,
  stamp_s: 4,
  due_s: 900,
};
const assignments = (indexes, from) =>
  indexes.map((index) => ({ index, machine: `vm-${String(from + (index % 7)).padStart(6, '0')}` }));
const range = (from, to) => Array.from({ length: to - from }, (_, i) => from + i);

/** Jobs in states in which a leader may have stored them. */
export function jobs(Job) {
  const make = (name, specChanges, applyChanges) => {
    const job = new Job(spec.name_id, { ...spec, ...specChanges }, 1_789_999_999_999, 7);
    applyChanges(job);
    return { name, job };
  };
  return [
    make('waiting', {}, () => undefined),
    make('partly placed', {}, (job) => {
      job.zone = 'a';
      job.place(assignments(range(0, 20), 100), 0);
      for (const index of [0, 3, 4, 11]) job.finish(index);
      job.unplace(7);
      job.place(assignments([7, ...range(20, 31)], 300), 0);
    }),
    make('cancelled while it runs', {}, (job) => {
      job.place(assignments(range(0, 5), 100), 0);
      job.abort();
    }),
    make('done', { entries: 3 }, (job) => {
      job.place(assignments(range(0, 3), 100), 0);
      for (const index of range(0, 3)) job.finish(index);
    }),
    make('a gang that was divided', { shape: 'ensemble', entries: 4 }, (job) => {
      job.place(assignments(range(0, 4), 100), 0);
      job.unplace(2);
    }),
    make('a gang partly done', { shape: 'ensemble', entries: 4 }, (job) => {
      job.place(assignments(range(0, 4), 100), 0);
      job.finish(1);
    }),
    make('as large as it may be', { entries: 2000, together: false }, (job) => {
      for (let batch = 0; batch < 46; batch++) {
        job.place(assignments(range(batch * 3, batch * 3 + 3), 1000 + batch * 11), 0);
      }
      for (const index of range(0, 138)) if (index % 2 === 0) job.unplace(index);
    }),
  ];
}
