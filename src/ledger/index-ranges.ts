/** Sets of task indexes that are mostly contiguous. */

/** A half-open range of indexes: the first one, and the first one behind it. */
export type IndexRange = readonly [from: number, to: number];

/** A set of task indexes as sorted, disjoint ranges that do not touch: 100,000 waiting tasks are one. */
export class IndexRanges {
  private readonly ranges: [from: number, to: number][] = [];
  private count = 0;

  static of(ranges: Iterable<IndexRange>): IndexRanges {
    const result = new IndexRanges();
    for (const [from, to] of ranges) result.addRange(from, to);
    return result;
  }

  /** How many indexes are in it. */
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

  /** Adds a range, and merges it with those that it overlaps or touches. */
  addRange(from: number, to: number): void {
    if (from >= to) return;
    const position = this.findRangeEndingAfter(from - 1);
    let start = from;
    let end = to;
    let merged = 0;
    for (let i = position; i < this.ranges.length; i++) {
      const [otherFrom, otherTo] = this.ranges[i] as IndexRange;
      if (otherFrom > to) break;
      start = Math.min(start, otherFrom);
      end = Math.max(end, otherTo);
      this.count -= otherTo - otherFrom;
      merged++;
    }
    this.ranges.splice(position, merged, [start, end]);
    this.count += end - start;
  }

  /** Removes one index; false if it was not in the set. */
  remove(index: number): boolean {
    const position = this.findRangeEndingAfter(index);
    const range = this.ranges[position];
    if (range === undefined || range[0] > index) return false;
    const [from, to] = range;
    const rest: [number, number][] = [];
    if (from < index) rest.push([from, index]);
    if (index + 1 < to) rest.push([index + 1, to]);
    this.ranges.splice(position, 1, ...rest);
    this.count -= 1;
    return true;
  }

  /** Makes it the set of these ranges. */
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

  /** A copy of its ranges, lowest first. */
  toArray(): [from: number, to: number][] {
    return this.ranges.map(([from, to]) => [from, to]);
  }
}
