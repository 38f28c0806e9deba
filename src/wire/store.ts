import * as z from 'zod';

/** Messages of the state service. */
export const Item = z.object({ key: z.string(), data: z.unknown(), stamp: z.number() });
export const Found = z.object({
  key: z.string(),
  data: z.unknown(),
  stamp: z.number(),
  tenure: z.number().nullish(),
});
export const Page = z.object({
  items: z.array(Item),
  has_next: z.boolean(),
  ledger_rev: z.number(),
});
export const Committed = z.object({ ledger_rev: z.number() });
export const Refused = z.object({ failed: z.array(z.string()), ledger_rev: z.number() });
export const Leased = z.object({ tenure: z.number() });
export const Log = z.object({
  ledger_rev: z.number(),
  log: z.array(
    z.object({
      put: z.string().optional(),
      delete: z.string().optional(),
      data: z.unknown(),
      stamp: z.number(),
    }),
  ),
});

export interface Condition {
  readonly key: string;
  readonly stamp: number;
}
export type Write =
  | { readonly put: string; readonly data: unknown; readonly tenure?: number }
  | { readonly delete: string };
export interface Multi {
  readonly if: readonly Condition[];
  readonly writes: readonly Write[];
}
