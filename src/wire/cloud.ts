/** Messages between controllers and the cloud provider that rents out machines. */
import * as z from 'zod';

const MachineTypeMessage = z.object({
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
type MachineTypeMessage = z.infer<typeof MachineTypeMessage>;
const MachineTypesMessage = z.object({ builds: z.array(MachineTypeMessage) });

/** A type of machine that can be rented. Prices are per hour. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** The size of its image cache, in GB. */
  readonly cacheGb: number;
  readonly fetchGbPerSecond: number;
  readonly onDemandPrice: number;
  readonly spotPrice: number;
  /** The usual boot time, in seconds. */
  readonly bootSeconds: number;
  readonly zones: readonly string[];
}

/** Decodes a list of machine types; undefined if the message is not one. */
export function decodeMachineTypes(value: unknown): MachineType[] | undefined {
  const parsed = MachineTypesMessage.safeParse(value);
  return parsed.success ? parsed.data.builds.map(toMachineType) : undefined;
}

const toMachineType = (message: MachineTypeMessage): MachineType => ({
  name: message.name,
  cpus: message.vcpus,
  gpus: message.gpus,
  memoryGb: message.ram_gb,
  cacheGb: message.cache_gb,
  fetchGbPerSecond: message.fetch_gb_per_s,
  onDemandPrice: message.rate,
  spotPrice: message.spot_price,
  bootSeconds: message.ready_s,
  zones: message.halls,
});

/** Encodes a list of machine types, both for messages and for the state store. */
export const encodeMachineTypes = (
  types: readonly MachineType[],
): { builds: MachineTypeMessage[] } => ({
  builds: types.map((type) => ({
    name: type.name,
    vcpus: type.cpus,
    gpus: type.gpus,
    ram_gb: type.memoryGb,
    cache_gb: type.cacheGb,
    fetch_gb_per_s: type.fetchGbPerSecond,
    rate: type.onDemandPrice,
    spot_price: type.spotPrice,
    ready_s: type.bootSeconds,
    halls: [...type.zones],
  })),
});

/** A request to rent machines. Its id, which is never reused, makes it idempotent. */
export interface ScaleOutRequest {
  readonly requestId: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** Encodes a request to rent machines. */
export const encodeScaleOutRequest = (request: ScaleOutRequest): object => ({
  hire: request.requestId,
  build: request.machineType,
  hall: request.zone,
  loaners: request.spot,
  how_many: request.count,
});

const ScaleOutResponse = z.object({ boxes: z.array(z.string()) });

/** Decodes the ids of the rented machines; undefined if the message does not contain them. */
export function decodeScaleOutResponse(value: unknown): string[] | undefined {
  const parsed = ScaleOutResponse.safeParse(value);
  return parsed.success ? parsed.data.boxes : undefined;
}

/** Encodes a request to delete machines by their ids. */
export const encodeDeleteRequest = (machines: readonly string[]): object => ({ boxes: machines });

const ListedMachineMessage = z.object({
  name_id: z.string(),
  addr: z.string(),
  build: z.string(),
  hall: z.string(),
  loaners: z.boolean(),
  status: z.string(),
  age_s: z.number(),
});
const MachinePageMessage = z.object({
  boxes: z.array(ListedMachineMessage),
  has_next: z.boolean(),
});

/** A machine in the cloud's list, which may be out of date. */
export interface ListedMachine {
  readonly id: string;
  readonly address: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  /** `starting`, `running` or `failed` */
  readonly status: string;
  /** Seconds since the request that rented it. */
  readonly ageSeconds: number;
}

/** One page of the cloud's list of machines. */
export interface MachinePage {
  readonly machines: readonly ListedMachine[];
  readonly hasNext: boolean;
}

/** Decodes one page of the cloud's list of machines; undefined if the message is not one. */
export function decodeMachinePage(value: unknown): MachinePage | undefined {
  const parsed = MachinePageMessage.safeParse(value);
  if (!parsed.success) return undefined;
  const machines = parsed.data.boxes.map((message) => ({
    id: message.name_id,
    address: message.addr,
    machineType: message.build,
    zone: message.hall,
    spot: message.loaners,
    status: message.status,
    ageSeconds: message.age_s,
  }));
  return { machines, hasNext: parsed.data.has_next };
}
