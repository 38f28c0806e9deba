/** The types that the library ships are not reachable through its package exports. */
declare module 'vlq' {
  export function decode(text: string): number[];
  export function encode(numbers: number | readonly number[]): string;
}
