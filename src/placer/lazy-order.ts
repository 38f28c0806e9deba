/** Takes items in order without sorting all of them: of thousands of machines, a job needs only the first few. */
import TinyQueue from 'tinyqueue';

/** Yields the items in the order of `compare`, which must not change for items that are not yielded yet. */
export function* inOrder<T>(
  items: readonly T[],
  compare: (a: T, b: T) => number,
): Generator<T, void, undefined> {
  const queue = new TinyQueue([...items], compare);
  for (let item = queue.pop(); item !== undefined; item = queue.pop()) yield item;
}
