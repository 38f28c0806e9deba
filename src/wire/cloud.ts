import * as z from 'zod';

/** Messages of the cloud that rents machines. */
export const Flavor = z.object({
  name: z.string(),
  vcpus: z.number(),
  gpus: z.number(),
  ram_gb: z.number(),
  cache_gb: z.number(),
  fetch_gb_per_s: z.number(),
  rate: z.number(),
  spot_price: z.number(),
  ready_s: z.number(),
  halls: z.array(z.string()),
});
export type Flavor = z.infer<typeof Flavor>;
export const Flavors = z.object({ builds: z.array(Flavor) });

export interface Hire {
  readonly hire: string;
  readonly build: string;
  readonly hall: string;
  readonly loaners: boolean;
  readonly how_many: number;
}
export const Hired = z.object({ boxes: z.array(z.string()) });

export const Box = z.object({
  name_id: z.string(),
  addr: z.string(),
  build: z.string(),
  hall: z.string(),
  loaners: z.boolean(),
  status: z.string(),
  age_s: z.number(),
});
export type Box = z.infer<typeof Box>;
export const BoxPage = z.object({ boxes: z.array(Box), has_next: z.boolean() });
