/** Types of the package `vlq`: those that it ships can't be reached through its package exports. */

declare module 'vlq' {
  export function decode(text: string): number[];
  export function encode(numbers: number | readonly number[]): string;
}
