/**
 * Image hints tell which images machines hold. The leader sends them to the other controllers, so that the next leader
 * can place tasks by them after a failover. They save time and are not needed for correctness.
 */
import type { Machine } from '../fleet/machine.js';
import type { MachineImages } from '../peer/messages.js';
import { ms, seconds, durationBetween, type SteadyMs } from '../units/index.js';

/** Interval between hint messages, which contain the changes since the previous ones. */
const HINT_INTERVAL = seconds(4);
/** Interval at which all hints are sent again, for controllers that have just started. */
const FULL_HINT_INTERVAL = seconds(20);
/** A hint that has not been sent again for this long is dropped. */
const HINT_LIFETIME = ms(FULL_HINT_INTERVAL * 3);
/** Approximate maximum size of the hints in one message. A frame holds slightly more than 64 KiB. */
const MAX_HINT_MESSAGE_BYTES = 40 * 1024;
/** Size of a machine's entry, and of each image in it, besides the characters of their names. */
const ENTRY_OVERHEAD_BYTES = 12;

const encodedBytes = ({ images, machine }: MachineImages): number =>
  images.reduce(
    (bytes, image) => bytes + image.name.length + ENTRY_OVERHEAD_BYTES,
    machine.length + ENTRY_OVERHEAD_BYTES,
  );

const imageNames = ({ images }: MachineImages): string =>
  images.map((image) => image.name).join(' ');

/** Sends the other controllers the hints that changed since the last message, and periodically all hints. */
export class ImageHintSender {
  private readonly lastSentImages = new Map<string, string>();
  private lastFullSentAt: SteadyMs | undefined;

  constructor(
    private readonly broadcast: (machines: readonly MachineImages[]) => void,
    private lastSentAt: SteadyMs,
  ) {}

  /** Sends hints if the interval has passed. */
  sendIfDue(machines: Iterable<Machine>, now: SteadyMs): void {
    if (durationBetween(this.lastSentAt, now) < HINT_INTERVAL) return;
    this.lastSentAt = now;
    const machinesUp: MachineImages[] = [];
    for (const machine of machines) {
      if (machine.isUp) machinesUp.push({ machine: machine.id, images: machine.images.list() });
    }
    for (const message of this.nextMessages(machinesUp, now)) this.broadcast(message);
  }

  /** The hints to send now, divided into messages of limited size. */
  private nextMessages(
    machines: readonly MachineImages[],
    now: SteadyMs,
  ): readonly (readonly MachineImages[])[] {
    if (
      this.lastFullSentAt === undefined ||
      durationBetween(this.lastFullSentAt, now) >= FULL_HINT_INTERVAL
    ) {
      this.lastFullSentAt = now;
      this.lastSentImages.clear();
    }
    const messages: MachineImages[][] = [];
    let freeBytes = 0;
    for (const machine of machines) {
      const names = imageNames(machine);
      if (this.lastSentImages.get(machine.machine) === names) continue;
      this.lastSentImages.set(machine.machine, names);
      const bytes = encodedBytes(machine);
      if (freeBytes < bytes || messages.length === 0) {
        messages.push([]);
        freeBytes = MAX_HINT_MESSAGE_BYTES;
      }
      freeBytes -= bytes;
      messages.at(-1)?.push(machine);
    }
    return messages;
  }
}

/** Keeps the hints that this controller received from leaders, or sent in its own terms as leader. */
export class ImageHintCache {
  private readonly hintsByMachine = new Map<string, { machine: MachineImages; at: SteadyMs }>();

  /** Records the hints of a message, and drops expired ones. */
  recordHints(machines: readonly MachineImages[], now: SteadyMs): void {
    for (const machine of machines) this.hintsByMachine.set(machine.machine, { machine, at: now });
    for (const [id, { at }] of this.hintsByMachine)
      if (durationBetween(at, now) > HINT_LIFETIME) this.hintsByMachine.delete(id);
  }

  /** The images that a machine probably holds, least recently used first; empty if no hint is known. */
  imagesOnMachine(machine: string): MachineImages['images'] {
    return this.hintsByMachine.get(machine)?.machine.images ?? [];
  }
}
