/**
 * Checks the catalog of machine types: which changes are stored, and what is restored. If a change is not stored, a
 * controller that starts while the cloud is unavailable checks submissions by outdated types; if each new price is
 * stored, writes are wasted.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MachineCatalog } from '../../src/cloud/machine-catalog.js';
import type { MachineType } from '../../src/wire/index.js';

const SMALL: MachineType = {
  name: 'small',
  cpus: 8,
  gpus: 0,
  memoryGb: 32,
  cacheGb: 20,
  fetchGbPerSecond: 0.5,
  onDemandPrice: 0.4,
  spotPrice: 0.15,
  bootSeconds: 10,
  zones: ['a', 'b'],
};
const LARGE: MachineType = { ...SMALL, name: 'large', cpus: 32 };

void test('an update detects a change of the machine types, but not a change of prices alone', () => {
  const cases: [name: string, update: MachineType[], isChange: boolean][] = [
    ['the same types', [SMALL, LARGE], false],
    ['another on-demand price', [{ ...SMALL, onDemandPrice: 0.5 }, LARGE], false],
    ['another spot price', [SMALL, { ...LARGE, spotPrice: 0.1 }], false],
    [
      'all prices',
      [SMALL, LARGE].map((type) => ({ ...type, onDemandPrice: 1, spotPrice: 1 })),
      false,
    ],
    ['an additional type', [SMALL, LARGE, { ...SMALL, name: 'medium' }], true],
    ['a removed type', [SMALL], true],
    ['no types', [], true],
    ['a renamed type', [SMALL, { ...LARGE, name: 'huge' }], true],
    ['more cpus', [{ ...SMALL, cpus: 9 }, LARGE], true],
    ['additional gpus', [{ ...SMALL, gpus: 1 }, LARGE], true],
    ['less memory', [{ ...SMALL, memoryGb: 16 }, LARGE], true],
    ['a larger cache', [{ ...SMALL, cacheGb: 40 }, LARGE], true],
    ['a slower network', [{ ...SMALL, fetchGbPerSecond: 0.1 }, LARGE], true],
    ['a slower boot', [{ ...SMALL, bootSeconds: 60 }, LARGE], true],
    ['another zone', [{ ...SMALL, zones: ['a', 'c'] }, LARGE], true],
    ['a price and a zone', [{ ...SMALL, spotPrice: 0.1, zones: ['a'] }, LARGE], true],
  ];
  for (const [name, update, isChange] of cases) {
    const catalog = new MachineCatalog();
    assert.equal(catalog.update([SMALL, LARGE]), true, 'the first types are a change');
    assert.equal(catalog.update(update), isChange, name);
    assert.deepEqual(catalog.all(), update, `${name}: the update is applied whatever it changes`);
  }
});

void test('stored machine types are restored unless newer ones are known', () => {
  const writer = new MachineCatalog();
  writer.update([SMALL, LARGE]);
  const stored = writer.encode();

  const empty = new MachineCatalog();
  empty.restore({ builds: 'unreadable' });
  assert.equal(empty.isLoaded, false);
  empty.restore(stored);
  assert.deepEqual(empty.all(), [SMALL, LARGE]);

  const current = new MachineCatalog();
  current.update([SMALL]);
  current.restore(stored);
  assert.deepEqual(current.all(), [SMALL]);
});
