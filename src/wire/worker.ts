import * as z from 'zod';

/** Messages between workers and controllers. */
const count = z.number().int().nonnegative();

export const Entry = z.object({
  entry: z.string(),
  try: count,
  status: z.string(),
  cause: z.string().nullish(),
  kept: z.boolean().nullish(),
});
export type Entry = z.infer<typeof Entry>;

export const Beat = z.object({
  box: z.string().min(1),
  addr: z.string(),
  build: z.string(),
  hall: z.string(),
  loaners: z.boolean(),
  shift: count,
  tally: count,
  baton: count,
  recall_s: z.number().nullish(),
  entries: z.array(Entry),
});
export type Beat = z.infer<typeof Beat>;

export type Order =
  | { readonly verb: 'launch'; readonly entry: string; readonly try: number }
  | {
      readonly verb: 'kill';
      readonly entry: string;
      readonly try: number;
      readonly wind_down_s: number;
    }
  | { readonly verb: 'clear'; readonly entry: string; readonly try: number };

export interface BeatReply {
  readonly baton: number;
  readonly orders: readonly Order[];
}

export interface Commands extends BeatReply {
  readonly shift: number;
}

/** A 421 sends the worker to the node that leads. */
export interface Redirect {
  readonly clerk?: string;
}
