/**
 * Checks the map whose entries expire. If entries are evicted by number or outlive their time, the controller
 * forgets what it still needs, or its memory grows without bound.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ExpiringMap } from '../../src/units/expiring-map.js';
import { SteadyMs, ms } from '../../src/units/index.js';

void test('entries are kept whatever their number, and expire a fixed time after they were last set', () => {
  const map = new ExpiringMap<number, number>(ms(1000));
  const count = 6000;
  for (let i = 0; i < count; i++) map.set(i, i, SteadyMs(i / 10));
  assert.equal(map.size, count);
  for (let i = 0; i < count; i += 2) map.set(i, -i, SteadyMs(900));
  map.set(1, 0, SteadyMs(1700));
  assert.equal(map.size, count / 2 + 1, 'the entries that were set again, and the new one');
  assert.equal(map.get(2), -2);
  assert.equal(map.get(3), undefined);
  map.delete(2);
  assert.equal(map.get(2), undefined);
});
