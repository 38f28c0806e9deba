import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Resources } from '../../src/fleet/resources.js';
import {
  isAllowed,
  place,
  type CandidateMachine,
  type ImageReserve,
  type RemainingQuota,
  type TaskRequest,
} from '../../src/placer/placer.js';
import { JobId, MachineId } from '../../src/units/index.js';

const seed = 20260314;
const host = (
  id: string,
  change: Partial<CandidateMachine> & { images?: string[] } = {},
): CandidateMachine => {
  const total: Resources = change.capacity ?? { cpus: 8, gpus: 0, memoryGb: 32 };
  return {
    id: MachineId(id),
    machineType: 'small',
    zone: 'a',
    spot: true,
    capacity: total,
    free: total,
    pricePerCpu: 0.02,
    fetchGbPerSecond: 0.5,
    hasImage: (image) => (change.images ?? []).includes(image),
    imagesBeingFetched: new Set(),
    ...change,
  };
};
const want = (id: string, count: number, change: Partial<TaskRequest> = {}): TaskRequest => ({
  id: JobId(id),
  team: 't',
  resources: { cpus: 2, gpus: 0, memoryGb: 1 },
  image: 'img',
  imageGb: 2,
  machineTypes: null,
  requiredZone: null,
  allowSpot: true,
  singleZone: false,
  boundZone: undefined,
  maxPerZone: Infinity,
  placedByZone: new Map(),
  waitingIndexes: Array.from({ length: count }, (_, i) => i),
  avoidedMachines: new Set(),
  isUrgent: false,
  usesReserve: false,
  rank: 2,
  mustStart: false,
  isGang: false,
  taskCount: count,
  ...change,
});

void test('room that is kept: who may use it, and how much', () => {
  const big: Resources = { cpus: 32, gpus: 0, memoryGb: 64 };
  const half: Resources = { cpus: 16, gpus: 0, memoryGb: 64 };
  const large = want('l', 1, { resources: { cpus: 24, gpus: 0, memoryGb: 1 }, rank: 1 });
  const hosts = [host('m1', { capacity: big, free: half })];
  const reserved = new Map([['img', 64]]);
  const room = new Map([['t', { cpus: 20, gpus: 0 }]]);
  const none = new Map<string, never>();
  const cases: [
    string,
    TaskRequest[],
    ReadonlyMap<string, RemainingQuota>,
    ImageReserve,
    number,
  ][] = [
    ['a large task keeps its machine', [large, want('j', 4)], none, none, 0],
    ['a job begins there in the end', [large, want('j', 4, { mustStart: true })], none, none, 1],
    [
      'not if the large one waited as long',
      [{ ...large, rank: -1 }, want('j', 4, { mustStart: true })],
      none,
      none,
      0,
    ],
    ['what its team may not start keeps nothing', [large, want('j', 4)], room, none, 4],
    ['room for urgent work', [want('j', 4)], none, reserved, 0],
    ['a job begins there too', [want('j', 4, { mustStart: true })], none, reserved, 1],
  ];
  for (const [name, wants, teams, reserve, placed] of cases) {
    const held = reserve.size > 0 ? [host('m1', { images: ['img'] })] : hosts;
    const fresh = new Map([...teams].map(([k, v]) => [k, { ...v }]));
    assert.equal(place(wants, held, fresh, 100, reserve).length, placed, name);
  }
});

void test('where a task goes', () => {
  const big: Resources = { cpus: 32, gpus: 0, memoryGb: 64 };
  const cases: [string, TaskRequest, CandidateMachine[], string | undefined][] = [
    ['the holder of its image', want('j', 1), [host('m1'), host('m2', { images: ['img'] })], 'm2'],
    [
      'else the freest',
      want('j', 1),
      [host('m1', { free: { cpus: 4, gpus: 0, memoryGb: 32 } }), host('m2')],
      'm2',
    ],
    [
      'the smaller type',
      want('j', 1),
      [host('m1', { capacity: big, free: big }), host('m2')],
      'm2',
    ],
    [
      'only an allowed type',
      want('j', 1, { machineTypes: ['fat'] }),
      [host('m1'), host('m2', { machineType: 'fat' })],
      'm2',
    ],
    [
      'only the allowed zone',
      want('j', 1, { requiredZone: 'b' }),
      [host('m1'), host('m2', { zone: 'b' })],
      'm2',
    ],
    [
      'no spot machine',
      want('j', 1, { allowSpot: false }),
      [host('m1'), host('m2', { spot: false })],
      'm2',
    ],
    [
      'not where it failed',
      want('j', 1, { avoidedMachines: new Set([MachineId('m1')]) }),
      [host('m1'), host('m2')],
      'm2',
    ],
    [
      'its zone',
      want('j', 1, { singleZone: true, boundZone: 'b' }),
      [host('m1'), host('m2', { zone: 'b' })],
      'm2',
    ],
    [
      'not too many in a zone',
      want('j', 1, { maxPerZone: 1, placedByZone: new Map([['a', 1]]) }),
      [host('m1')],
      undefined,
    ],
    [
      'nowhere without room',
      want('j', 1, { resources: { cpus: 16, gpus: 0, memoryGb: 1 } }),
      [host('m1')],
      undefined,
    ],
  ];
  for (const [name, w, hosts, machine] of cases) {
    assert.equal(place([w], hosts, new Map(), 10)[0]?.machine, machine, name);
  }
});

void test('a gang is placed whole or not at all, and leaves its room to others', () => {
  const gang = want('g', 5, { isGang: true });
  const other = want('o', 4);
  const placed = place([gang, other], [host('m1')], new Map(), 10);
  assert.deepEqual(
    placed.map((a) => a.job),
    ['o', 'o', 'o', 'o'],
  );
  assert.equal(place([gang], [host('m1'), host('m2')], new Map(), 10).length, 5);
});

void test('a gang that must be in one zone goes where all of it fits, and starts soonest', () => {
  const small: Resources = { cpus: 4, gpus: 0, memoryGb: 32 };
  const gang = want('g', 4, { isGang: true, singleZone: true });
  const cases: [
    name: string,
    hosts: CandidateMachine[],
    team: number | undefined,
    zone: string | undefined,
  ][] = [
    [
      'the best machine is alone in its zone',
      [host('m1', { images: ['img'], free: small }), host('m2', { zone: 'b' })],
      undefined,
      'b',
    ],
    [
      'one zone has to fetch the image for a part',
      [
        host('m1', { images: ['img'], free: small }),
        host('m2', { free: small }),
        host('m3', { zone: 'b', images: ['img'], pricePerCpu: 9 }),
      ],
      undefined,
      'b',
    ],
    [
      'room for half of it in each',
      [host('m1', { free: small }), host('m2', { zone: 'b', free: small })],
      undefined,
      undefined,
    ],
    ['its team may start half of it', [host('m1')], 4, undefined],
    ['its team may start all of it', [host('m1')], 8, 'a'],
  ];
  for (const [name, hosts, team, zone] of cases) {
    const teams = new Map(team === undefined ? [] : [['t', { cpus: team, gpus: Infinity }]]);
    const placed = place([gang], hosts, teams, 100);
    const zones = new Set(placed.map((a) => hosts.find((h) => h.id === a.machine)?.zone));
    assert.deepEqual([...zones], zone === undefined ? [] : [zone], name);
    assert.equal(placed.length, zone === undefined ? 0 : 4, name);
    if (team !== undefined && zone === undefined) assert.equal(teams.get('t')?.cpus, team, name);
  }
});

void test('machines are kept for a gang that finds no room, in one zone, if they could ever hold it', () => {
  const free: Resources = { cpus: 4, gpus: 0, memoryGb: 32 };
  const hosts = [
    host('m1', { free }),
    host('m2', { zone: 'b', free }),
    host('m3', { zone: 'b', free: { ...free, cpus: 2 } }),
    host('m4', { zone: 'b', free: { ...free, cpus: 0 } }),
  ];
  const cases: [name: string, count: number, left: string[]][] = [
    ['it could have all of one machine', 4, ['m1', 'm1', 'm3']],
    ['it could have two of the other zone', 8, ['m1', 'm1']],
    ['no zone is large enough', 13, ['m1', 'm1', 'm2', 'm2', 'm3']],
  ];
  for (const [name, count, left] of cases) {
    const gang = want('g', count, { isGang: true, singleZone: true });
    const later = place([gang, want('o', 9)], hosts, new Map(), 100);
    assert.deepEqual(later.map((a) => a.machine).sort(), left, name);
  }
});

void test('no placement breaks capacity, a limit, a zone rule or the kinds allowed', () => {
  const size = fc.record({
    cpus: fc.integer({ min: 1, max: 9 }),
    gpus: fc.nat(1),
    memoryGb: fc.nat(20),
  });
  const hosts = fc.array(
    fc.record({
      machineType: fc.constantFrom('small', 'fat'),
      zone: fc.constantFrom('a', 'b', 'c'),
      spot: fc.boolean(),
      free: fc.record({ cpus: fc.nat(16), gpus: fc.nat(2), memoryGb: fc.nat(40) }),
      images: fc.subarray(['x', 'y']),
    }),
    { maxLength: 6 },
  );
  const wants = fc.array(
    fc.record({
      count: fc.integer({ min: 1, max: 12 }),
      resources: size,
      team: fc.constantFrom('t', 'u'),
      image: fc.constantFrom('x', 'y', 'z'),
      machineTypes: fc.option(fc.subarray(['small', 'fat']), { nil: null }),
      requiredZone: fc.option(fc.constantFrom('a', 'b'), { nil: null }),
      allowSpot: fc.boolean(),
      singleZone: fc.boolean(),
      apart: fc.boolean(),
      isGang: fc.boolean(),
    }),
    { maxLength: 5 },
  );
  fc.assert(
    fc.property(hosts, wants, fc.nat(30), (hs, ws, limit) => {
      const hostList = hs.map((h, i) => host(`m${i}`, { ...h, capacity: h.free }));
      const wantList = ws.map((w, i) =>
        want(`j${i}`, w.count, { ...w, maxPerZone: w.apart ? Math.ceil(w.count / 2) : Infinity }),
      );
      const once = place(wantList, hostList, new Map([['t', { cpus: limit, gpus: limit }]]), 50);
      const twice = place(wantList, hostList, new Map([['t', { cpus: limit, gpus: limit }]]), 50);
      assert.deepEqual(once, twice, 'the same input gives the same placements');
      // Beside a job of tiny tasks, none of which waits, every machine is looked at.
      const tiny = want('tiny', 0, { resources: { cpus: 0, gpus: 0, memoryGb: 0 }, rank: 99 });
      const limits = new Map([['t', { cpus: limit, gpus: limit }]]);
      const plain = place([...wantList, tiny], hostList, limits, 50);
      assert.deepEqual(once, plain, 'machines that are passed over could hold nothing');
      const used = new Map<string, Resources>();
      const zones = new Map<string, Map<string, number>>();
      let team = 0;
      const seen = new Set<string>();
      for (const a of once) {
        const w = wantList.find((x) => x.id === a.job);
        const h = hostList.find((x) => x.id === a.machine);
        assert.ok(w && h);
        assert.ok(isAllowed(w, h));
        assert.ok(!seen.has(`${a.job}/${a.index}`), 'a task is placed once');
        seen.add(`${a.job}/${a.index}`);
        const u = used.get(h.id) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
        used.set(h.id, {
          cpus: u.cpus + w.resources.cpus,
          gpus: u.gpus + w.resources.gpus,
          memoryGb: u.memoryGb + w.resources.memoryGb,
        });
        if (w.team === 't') team += w.resources.cpus;
        const z = zones.get(w.id) ?? new Map<string, number>();
        z.set(h.zone, (z.get(h.zone) ?? 0) + 1);
        zones.set(w.id, z);
      }
      for (const h of hostList) {
        const u = used.get(h.id);
        if (!u) continue;
        assert.ok(u.cpus <= h.free.cpus && u.gpus <= h.free.gpus && u.memoryGb <= h.free.memoryGb);
      }
      assert.ok(team <= limit);
      for (const w of wantList) {
        const z = zones.get(w.id);
        if (!z) continue;
        if (w.isGang)
          assert.equal(
            [...z.values()].reduce((a, b) => a + b),
            w.taskCount,
            'all or none',
          );
        if (w.singleZone) assert.equal(z.size, 1);
        for (const n of z.values()) assert.ok(n <= w.maxPerZone);
      }
    }),
    { seed },
  );
});
