/** Types of the package `vlq`. Its own types are not reachable through its package exports. */

declare module 'vlq' {
  export function decode(text: string): number[];
  export function encode(numbers: number | readonly number[]): string;
}
