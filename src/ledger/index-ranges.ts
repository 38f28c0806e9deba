/** A set of task indexes, stored as ranges because the indexes are mostly contiguous. */

/** A half-open range of indexes: `from` is included, `to` is not. */
export type IndexRange = readonly [from: number, to: number];

/** A set of task indexes as sorted, disjoint and non-adjacent ranges: 100,000 waiting tasks can be one range. */
export class IndexRanges {
  private readonly ranges: [from: number, to: number][] = [];
  private count = 0;

  static of(ranges: Iterable<IndexRange>): IndexRanges {
    const result = new IndexRanges();
    for (const [from, to] of ranges) result.addRange(from, to);
    return result;
  }

  /** The number of indexes in the set. */
  get size(): number {
    return this.count;
  }

  /** The position of the first range that ends after `index`. */
  private findRangeEndingAfter(index: number): number {
    let low = 0;
    let high = this.ranges.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.ranges[middle] as IndexRange)[1] > index) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  has(index: number): boolean {
    const range = this.ranges[this.findRangeEndingAfter(index)];
    return range !== undefined && range[0] <= index;
  }

  add(index: number): void {
    this.addRange(index, index + 1);
  }

  /** Adds a range and merges it with the ranges that it overlaps or is adjacent to. */
  addRange(from: number, to: number): void {
    if (from >= to) return;
    const position = this.findRangeEndingAfter(from - 1);
    let start = from;
    let end = to;
    let mergedCount = 0;
    for (let i = position; i < this.ranges.length; i++) {
      const [otherFrom, otherTo] = this.ranges[i] as IndexRange;
      if (otherFrom > to) break;
      start = Math.min(start, otherFrom);
      end = Math.max(end, otherTo);
      this.count -= otherTo - otherFrom;
      mergedCount++;
    }
    this.ranges.splice(position, mergedCount, [start, end]);
    this.count += end - start;
  }

  /** Removes an index; false if it was not in the set. */
  remove(index: number): boolean {
    const position = this.findRangeEndingAfter(index);
    const range = this.ranges[position];
    if (range === undefined || range[0] > index) return false;
    const [from, to] = range;
    const remaining: [number, number][] = [];
    if (from < index) remaining.push([from, index]);
    if (index + 1 < to) remaining.push([index + 1, to]);
    this.ranges.splice(position, 1, ...remaining);
    this.count -= 1;
    return true;
  }

  /** Replaces the contents of the set with these ranges. */
  replaceWith(ranges: Iterable<IndexRange>): void {
    this.ranges.length = 0;
    this.count = 0;
    for (const [from, to] of ranges) this.addRange(from, to);
  }

  /** The lowest index; undefined if the set is empty. */
  lowestIndex(): number | undefined {
    return this.ranges[0]?.[0];
  }

  /** The highest range; undefined if the set is empty. */
  lastRange(): IndexRange | undefined {
    return this.ranges.at(-1);
  }

  /** All indexes, lowest first. */
  *indexes(): IterableIterator<number> {
    for (const [from, to] of this.ranges) for (let index = from; index < to; index++) yield index;
  }

  /** A copy of the ranges, lowest first. */
  toArray(): [from: number, to: number][] {
    return this.ranges.map(([from, to]) => [from, to]);
  }
}
