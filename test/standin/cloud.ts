/**
 * A simulated cloud API, as the protocol describes it: idempotent rentals, boots, a machine list that lags,
 * deletions and outages.
 */
import type { Random } from '../../src/units/index.js';
import { encodeMachineTypes, type MachineType } from '../../src/wire/index.js';
import type { TimeSource } from './clock.js';
import type { HostResponse } from './network.js';

/** A machine since its rental. Machines that have ended are kept too. */
export interface RentedMachine {
  readonly id: string;
  readonly address: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly rentedAt: number;
  /** When the machine list begins to show it. */
  readonly listedAt: number;
  endedAt: number | undefined;
  isRunning: boolean;
}

/** The body of a rental request. */
interface RentalMessage {
  readonly hire: string;
  readonly build: string;
  readonly hall: string;
  readonly loaners: boolean;
  readonly how_many: number;
}

/** Callbacks for the boot and the end of rented machines. */
export interface MachineLifecycle {
  onBoot(machine: RentedMachine): void;
  onEnd(machine: RentedMachine): void;
}

/** The parameters and dependencies of a cloud. */
export interface CloudOptions {
  readonly time: TimeSource;
  readonly random: Random;
  readonly machineTypes: readonly MachineType[];
  /** The nominal lag of the machine list; a new machine appears after 0.5 to 2 times as long. */
  readonly listLagMs: number;
  readonly lifecycle: MachineLifecycle;
  /** The address of the nth rented machine. */
  readonly addressOf: (n: number) => string;
}

const DEFAULT_BOOT_SECONDS = 10;

/** The simulated cloud API. */
export class Cloud {
  readonly machines = new Map<string, RentedMachine>();
  /** The machine ids of each rental by its idempotency key: a repeated request returns them again. */
  private readonly rentals = new Map<string, string[]>();
  private rentedCount = 0;
  /** Whether every request gets a 503 response. */
  isUnavailable = false;
  /** The most machines that can exist at a time for each combination of type, zone and price model. */
  capacityPerOffer = 8;
  /** The share of machines that never boot. */
  bootFailureShare = 0.03;

  constructor(private readonly options: CloudOptions) {}

  /** Finds a machine type by its name. */
  machineType(name: string): MachineType | undefined {
    return this.options.machineTypes.find((type) => type.name === name);
  }

  handle(_method: string, target: string, body: unknown): HostResponse {
    if (this.isUnavailable) return { status: 503, body: { error: 'trouble' } };
    const url = new URL(target, 'http://cloud');
    if (url.pathname === '/flavors') {
      return { status: 200, body: encodeMachineTypes(this.options.machineTypes) };
    }
    if (url.pathname === '/machines/delete') {
      for (const id of (body as { boxes: string[] }).boxes) this.end(id);
      return { status: 200, body: {} };
    }
    if (url.pathname === '/machines' && body !== undefined) return this.rent(body as RentalMessage);
    return this.list(url.searchParams.get('from') ?? '');
  }

  private rent(message: RentalMessage): HostResponse {
    const known = this.rentals.get(message.hire);
    if (known) return { status: 200, body: { boxes: known } };
    const count = Math.min(message.how_many, this.capacityPerOffer - this.countMatching(message));
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const ids: string[] = [];
    for (let i = 0; i < count; i++) {
      const machine = this.createMachine(message);
      ids.push(machine.id);
      this.boot(machine);
    }
    this.rentals.set(message.hire, ids);
    return { status: 200, body: { boxes: ids } };
  }

  /** Counts the machines of the type, zone and price model that a rental asks for. */
  private countMatching({ build, hall, loaners }: RentalMessage): number {
    return [...this.machines.values()].filter(
      (machine) =>
        machine.machineType === build &&
        machine.zone === hall &&
        machine.spot === loaners &&
        machine.endedAt === undefined,
    ).length;
  }

  private createMachine({ build, hall, loaners }: RentalMessage): RentedMachine {
    const { time, random, listLagMs, addressOf } = this.options;
    const number = ++this.rentedCount;
    const machine: RentedMachine = {
      id: `vm-${String(number).padStart(6, '0')}`,
      address: addressOf(number),
      machineType: build,
      zone: hall,
      spot: loaners,
      rentedAt: time.now,
      listedAt: time.now + listLagMs * (0.5 + 1.5 * random()),
      endedAt: undefined,
      isRunning: false,
    };
    this.machines.set(machine.id, machine);
    return machine;
  }

  private boot(machine: RentedMachine): void {
    const { time, random, lifecycle } = this.options;
    const type = this.machineType(machine.machineType);
    const bootMs = (type?.bootSeconds ?? DEFAULT_BOOT_SECONDS) * 1000;
    if (random() < this.bootFailureShare) return;
    time.after(bootMs * (0.6 + 0.9 * random()), () => {
      if (machine.endedAt !== undefined) return;
      machine.isRunning = true;
      lifecycle.onBoot(machine);
    });
  }

  /** Ends a machine that was deleted, was reclaimed or has failed, together with all that runs on it. */
  end(id: string): void {
    const machine = this.machines.get(id);
    if (!machine || machine.endedAt !== undefined) return;
    machine.endedAt = this.options.time.now;
    this.options.lifecycle.onEnd(machine);
  }

  private list(from: string): HostResponse {
    const { now } = this.options.time;
    const boxes = [...this.machines.values()]
      .filter((machine) => machine.id > from && machine.listedAt <= now)
      // The list lags: it shows a machine for a while after its end.
      .filter(({ endedAt }) => endedAt === undefined || now - endedAt < this.options.listLagMs)
      .map((machine) => ({
        name_id: machine.id,
        addr: machine.address,
        build: machine.machineType,
        hall: machine.zone,
        loaners: machine.spot,
        status: machine.isRunning ? 'running' : 'starting',
        age_s: (now - machine.rentedAt) / 1000,
      }));
    return { status: 200, body: { boxes, has_next: false } };
  }
}
