/** A set of task indexes as sorted, disjoint half-open ranges: 100,000 waiting tasks are one. */
export class IndexRanges {
  private readonly parts: [number, number][] = [];
  private total = 0;

  static of(parts: Iterable<readonly [number, number]>): IndexRanges {
    const r = new IndexRanges();
    for (const [from, to] of parts) r.addRange(from, to);
    return r;
  }

  get size(): number {
    return this.total;
  }

  get rangeCount(): number {
    return this.parts.length;
  }

  /** The position of the first part that ends after `index`. */
  private seek(index: number): number {
    let lo = 0;
    let hi = this.parts.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      if ((this.parts[mid] as [number, number])[1] > index) hi = mid;
      else lo = mid + 1;
    }
    return lo;
  }

  has(index: number): boolean {
    const part = this.parts[this.seek(index)];
    return part !== undefined && part[0] <= index;
  }

  add(index: number): void {
    this.addRange(index, index + 1);
  }

  addRange(from: number, to: number): void {
    if (from >= to) return;
    let at = this.seek(from - 1);
    let start = from;
    let end = to;
    let n = 0;
    for (let i = at; i < this.parts.length; i++) {
      const [a, b] = this.parts[i] as [number, number];
      if (a > to) break;
      start = Math.min(start, a);
      end = Math.max(end, b);
      this.total -= b - a;
      n++;
    }
    if (at > this.parts.length) at = this.parts.length;
    this.parts.splice(at, n, [start, end]);
    this.total += end - start;
  }

  remove(index: number): boolean {
    const at = this.seek(index);
    const part = this.parts[at];
    if (part === undefined || part[0] > index) return false;
    const [a, b] = part;
    const left: [number, number][] = [];
    if (a < index) left.push([a, index]);
    if (index + 1 < b) left.push([index + 1, b]);
    this.parts.splice(at, 1, ...left);
    this.total -= 1;
    return true;
  }

  lowest(): number | undefined {
    return this.parts[0]?.[0];
  }

  last(): readonly [number, number] | undefined {
    return this.parts.at(-1);
  }

  *indexes(): IterableIterator<number> {
    for (const [a, b] of this.parts) for (let i = a; i < b; i++) yield i;
  }

  list(): [number, number][] {
    return this.parts.map(([a, b]) => [a, b]);
  }
}
