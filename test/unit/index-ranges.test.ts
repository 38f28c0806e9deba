/**
 * Compares sets of task indexes, which are stored as ranges, with plain sets of numbers. A wrong split or merge of
 * ranges would lose a task or place it twice.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { IndexRanges } from '../../src/ledger/index-ranges.js';

const seed = 20260312;

void test('index ranges hold the same indexes as a set of numbers after the same changes', () => {
  const changesArbitrary = fc.array(fc.tuple(fc.boolean(), fc.nat(40)), { maxLength: 120 });
  fc.assert(
    fc.property(changesArbitrary, (changes) => {
      const ranges = IndexRanges.of([[0, 20]]);
      const set = new Set(Array.from({ length: 20 }, (_, i) => i));
      for (const [isAdded, i] of changes) {
        if (isAdded) {
          ranges.add(i);
          set.add(i);
        } else assert.equal(ranges.remove(i), set.delete(i));
      }
      const sorted = [...set].sort((a, b) => a - b);
      assert.deepEqual([...ranges.indexes()], sorted);
      assert.equal(ranges.size, set.size);
      assert.equal(ranges.lowestIndex(), sorted[0]);
      for (let i = 0; i <= 41; i++) assert.equal(ranges.has(i), set.has(i));
      const parts = ranges.toArray();
      parts.forEach(([from, to], position) => {
        assert.ok(from < to);
        if (position > 0) {
          assert.ok((parts[position - 1]?.[1] ?? 0) < from, 'parts neither touch nor overlap');
        }
      });
    }),
    { seed },
  );
});
