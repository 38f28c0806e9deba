import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ExpiringMap } from '../../src/units/expiring-map.js';
import { SteadyMs, ms } from '../../src/units/index.js';

void test('entries are kept however many there are, and forgotten some time after they were set', () => {
  const map = new ExpiringMap<number, number>(ms(1000));
  const machines = 6000;
  for (let i = 0; i < machines; i++) map.set(i, i, SteadyMs(i / 10));
  assert.equal(map.size, machines);
  for (let i = 0; i < machines; i += 2) map.set(i, -i, SteadyMs(900));
  map.set(1, 0, SteadyMs(1700));
  assert.equal(map.size, machines / 2 + 1, 'those set last, and the new one');
  assert.equal(map.get(2), -2);
  assert.equal(map.get(3), undefined);
  map.delete(2);
  assert.equal(map.get(2), undefined);
});
