import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Size } from '../../src/fleet/size.js';
import {
  allows,
  place,
  type Host,
  type Reserve,
  type TeamRoom,
  type Want,
} from '../../src/placer/placer.js';
import { JobId, MachineId } from '../../src/units/index.js';

const seed = 20260314;
const host = (id: string, change: Partial<Host> & { images?: string[] } = {}): Host => {
  const total: Size = change.total ?? { cpus: 8, gpus: 0, ramGb: 32 };
  return {
    id: MachineId(id),
    type: 'small',
    zone: 'a',
    spot: true,
    total,
    free: total,
    rate: 0.02,
    fetchGbPerS: 0.5,
    holds: (image) => (change.images ?? []).includes(image),
    fetching: new Set(),
    ...change,
  };
};
const want = (id: string, count: number, change: Partial<Want> = {}): Want => ({
  id: JobId(id),
  team: 't',
  size: { cpus: 2, gpus: 0, ramGb: 1 },
  image: 'img',
  imageGb: 2,
  types: null,
  onlyZone: null,
  spot: true,
  together: false,
  zone: undefined,
  perZone: Infinity,
  inZone: new Map(),
  indexes: Array.from({ length: count }, (_, i) => i),
  avoid: new Set(),
  urgent: false,
  isExpected: false,
  rank: 2,
  mustBegin: false,
  whole: false,
  count,
  ...change,
});

void test('room that is kept: who may use it, and how much', () => {
  const big: Size = { cpus: 32, gpus: 0, ramGb: 64 };
  const half: Size = { cpus: 16, gpus: 0, ramGb: 64 };
  const large = want('l', 1, { size: { cpus: 24, gpus: 0, ramGb: 1 }, rank: 1 });
  const hosts = [host('m1', { total: big, free: half })];
  const reserved = new Map([['img', 64]]);
  const room = new Map([['t', { cpus: 20, gpus: 0 }]]);
  const none = new Map<string, never>();
  const cases: [string, Want[], ReadonlyMap<string, TeamRoom>, Reserve, number][] = [
    ['a large task keeps its machine', [large, want('j', 4)], none, none, 0],
    ['a job begins there in the end', [large, want('j', 4, { mustBegin: true })], none, none, 1],
    [
      'not if the large one waited as long',
      [{ ...large, rank: -1 }, want('j', 4, { mustBegin: true })],
      none,
      none,
      0,
    ],
    ['what its team may not start keeps nothing', [large, want('j', 4)], room, none, 4],
    ['room for urgent work', [want('j', 4)], none, reserved, 0],
    ['a job begins there too', [want('j', 4, { mustBegin: true })], none, reserved, 1],
  ];
  for (const [name, wants, teams, reserve, placed] of cases) {
    const held = reserve.size > 0 ? [host('m1', { images: ['img'] })] : hosts;
    const fresh = new Map([...teams].map(([k, v]) => [k, { ...v }]));
    assert.equal(place(wants, held, fresh, 100, reserve).length, placed, name);
  }
});

void test('where a task goes', () => {
  const big: Size = { cpus: 32, gpus: 0, ramGb: 64 };
  const cases: [string, Want, Host[], string | undefined][] = [
    ['the holder of its image', want('j', 1), [host('m1'), host('m2', { images: ['img'] })], 'm2'],
    [
      'else the freest',
      want('j', 1),
      [host('m1', { free: { cpus: 4, gpus: 0, ramGb: 32 } }), host('m2')],
      'm2',
    ],
    ['the smaller type', want('j', 1), [host('m1', { total: big, free: big }), host('m2')], 'm2'],
    [
      'only an allowed type',
      want('j', 1, { types: ['fat'] }),
      [host('m1'), host('m2', { type: 'fat' })],
      'm2',
    ],
    [
      'only the allowed zone',
      want('j', 1, { onlyZone: 'b' }),
      [host('m1'), host('m2', { zone: 'b' })],
      'm2',
    ],
    [
      'no spot machine',
      want('j', 1, { spot: false }),
      [host('m1'), host('m2', { spot: false })],
      'm2',
    ],
    [
      'not where it failed',
      want('j', 1, { avoid: new Set([MachineId('m1')]) }),
      [host('m1'), host('m2')],
      'm2',
    ],
    [
      'its zone',
      want('j', 1, { together: true, zone: 'b' }),
      [host('m1'), host('m2', { zone: 'b' })],
      'm2',
    ],
    [
      'not too many in a zone',
      want('j', 1, { perZone: 1, inZone: new Map([['a', 1]]) }),
      [host('m1')],
      undefined,
    ],
    [
      'nowhere without room',
      want('j', 1, { size: { cpus: 16, gpus: 0, ramGb: 1 } }),
      [host('m1')],
      undefined,
    ],
  ];
  for (const [name, w, hosts, machine] of cases) {
    assert.equal(place([w], hosts, new Map(), 10)[0]?.machine, machine, name);
  }
});

void test('a gang is placed whole or not at all, and leaves its room to others', () => {
  const gang = want('g', 5, { whole: true });
  const other = want('o', 4);
  const placed = place([gang, other], [host('m1')], new Map(), 10);
  assert.deepEqual(
    placed.map((a) => a.job),
    ['o', 'o', 'o', 'o'],
  );
  assert.equal(place([gang], [host('m1'), host('m2')], new Map(), 10).length, 5);
});

void test('a gang that must be in one zone goes where all of it fits, and starts soonest', () => {
  const small: Size = { cpus: 4, gpus: 0, ramGb: 32 };
  const gang = want('g', 4, { whole: true, together: true });
  const cases: [name: string, hosts: Host[], team: number | undefined, zone: string | undefined][] =
    [
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
          host('m3', { zone: 'b', images: ['img'], rate: 9 }),
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
  const free: Size = { cpus: 4, gpus: 0, ramGb: 32 };
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
    const gang = want('g', count, { whole: true, together: true });
    const later = place([gang, want('o', 9)], hosts, new Map(), 100);
    assert.deepEqual(later.map((a) => a.machine).sort(), left, name);
  }
});

void test('no placement breaks capacity, a limit, a zone rule or the kinds allowed', () => {
  const size = fc.record({
    cpus: fc.integer({ min: 1, max: 9 }),
    gpus: fc.nat(1),
    ramGb: fc.nat(20),
  });
  const hosts = fc.array(
    fc.record({
      type: fc.constantFrom('small', 'fat'),
      zone: fc.constantFrom('a', 'b', 'c'),
      spot: fc.boolean(),
      free: fc.record({ cpus: fc.nat(16), gpus: fc.nat(2), ramGb: fc.nat(40) }),
      images: fc.subarray(['x', 'y']),
    }),
    { maxLength: 6 },
  );
  const wants = fc.array(
    fc.record({
      count: fc.integer({ min: 1, max: 12 }),
      size,
      team: fc.constantFrom('t', 'u'),
      image: fc.constantFrom('x', 'y', 'z'),
      types: fc.option(fc.subarray(['small', 'fat']), { nil: null }),
      onlyZone: fc.option(fc.constantFrom('a', 'b'), { nil: null }),
      spot: fc.boolean(),
      together: fc.boolean(),
      apart: fc.boolean(),
      whole: fc.boolean(),
    }),
    { maxLength: 5 },
  );
  fc.assert(
    fc.property(hosts, wants, fc.nat(30), (hs, ws, limit) => {
      const hostList = hs.map((h, i) => host(`m${i}`, { ...h, total: h.free }));
      const wantList = ws.map((w, i) =>
        want(`j${i}`, w.count, { ...w, perZone: w.apart ? Math.ceil(w.count / 2) : Infinity }),
      );
      const once = place(wantList, hostList, new Map([['t', { cpus: limit, gpus: limit }]]), 50);
      const twice = place(wantList, hostList, new Map([['t', { cpus: limit, gpus: limit }]]), 50);
      assert.deepEqual(once, twice, 'the same input gives the same placements');
      // Beside a job of tiny tasks, none of which waits, every machine is looked at.
      const tiny = want('tiny', 0, { size: { cpus: 0, gpus: 0, ramGb: 0 }, rank: 99 });
      const limits = new Map([['t', { cpus: limit, gpus: limit }]]);
      const plain = place([...wantList, tiny], hostList, limits, 50);
      assert.deepEqual(once, plain, 'machines that are passed over could hold nothing');
      const used = new Map<string, Size>();
      const zones = new Map<string, Map<string, number>>();
      let team = 0;
      const seen = new Set<string>();
      for (const a of once) {
        const w = wantList.find((x) => x.id === a.job);
        const h = hostList.find((x) => x.id === a.machine);
        assert.ok(w && h);
        assert.ok(allows(w, h));
        assert.ok(!seen.has(`${a.job}/${a.index}`), 'a task is placed once');
        seen.add(`${a.job}/${a.index}`);
        const u = used.get(h.id) ?? { cpus: 0, gpus: 0, ramGb: 0 };
        used.set(h.id, {
          cpus: u.cpus + w.size.cpus,
          gpus: u.gpus + w.size.gpus,
          ramGb: u.ramGb + w.size.ramGb,
        });
        if (w.team === 't') team += w.size.cpus;
        const z = zones.get(w.id) ?? new Map<string, number>();
        z.set(h.zone, (z.get(h.zone) ?? 0) + 1);
        zones.set(w.id, z);
      }
      for (const h of hostList) {
        const u = used.get(h.id);
        if (!u) continue;
        assert.ok(u.cpus <= h.free.cpus && u.gpus <= h.free.gpus && u.ramGb <= h.free.ramGb);
      }
      assert.ok(team <= limit);
      for (const w of wantList) {
        const z = zones.get(w.id);
        if (!z) continue;
        if (w.whole)
          assert.equal(
            [...z.values()].reduce((a, b) => a + b),
            w.count,
            'all or none',
          );
        if (w.together) assert.equal(z.size, 1);
        for (const n of z.values()) assert.ok(n <= w.perZone);
      }
    }),
    { seed },
  );
});
