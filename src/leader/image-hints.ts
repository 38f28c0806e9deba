/**
 * Hints: which images machines hold, as the leader tells the other nodes, so that one that takes over
 * places by them. They save time and are not needed for correctness.
 */
import type { Machine } from '../fleet/machine.js';
import type { MachineImages } from '../peer/messages.js';
import { ms, seconds, durationBetween, type SteadyMs } from '../units/index.js';

const HINT_INTERVAL = seconds(4);
/** Everything is sent again this often, for a node that has just been started. */
const FULL_HINT_INTERVAL = seconds(20);
/** What was not sent again for so long is forgotten. */
const HINT_LIFETIME = ms(FULL_HINT_INTERVAL * 3);
/** About how many bytes of hints go into one message: a frame holds a little more than 64 KiB. */
const MAX_HINT_MESSAGE_BYTES = 40 * 1024;
/** What a machine's id and one image take in a message beside their names. */
const ENTRY_OVERHEAD_BYTES = 12;

const encodedBytes = ({ images, machine }: MachineImages): number =>
  images.reduce(
    (bytes, image) => bytes + image.name.length + ENTRY_OVERHEAD_BYTES,
    machine.length + ENTRY_OVERHEAD_BYTES,
  );

const imageFingerprint = ({ images }: MachineImages): string =>
  images.map((image) => image.name).join(' ');

/** Sends the other nodes what changed since the last message, and everything now and then. */
export class ImageHintSender {
  private readonly sentFingerprints = new Map<string, string>();
  private fullySentAt: SteadyMs | undefined;

  constructor(
    private readonly broadcast: (machines: readonly MachineImages[]) => void,
    private sentAt: SteadyMs,
  ) {}

  /** Sends if the interval has passed. */
  sendIfDue(machines: Iterable<Machine>, now: SteadyMs): void {
    if (durationBetween(this.sentAt, now) < HINT_INTERVAL) return;
    this.sentAt = now;
    const hintsByMachine: MachineImages[] = [];
    for (const machine of machines) {
      if (machine.isUp) hintsByMachine.push({ machine: machine.id, images: machine.images.list() });
    }
    for (const message of this.nextMessages(hintsByMachine, now)) this.broadcast(message);
  }

  /** What there is to send now, in parts that each fit a message. */
  private nextMessages(
    machines: readonly MachineImages[],
    now: SteadyMs,
  ): readonly (readonly MachineImages[])[] {
    if (
      this.fullySentAt === undefined ||
      durationBetween(this.fullySentAt, now) >= FULL_HINT_INTERVAL
    ) {
      this.fullySentAt = now;
      this.sentFingerprints.clear();
    }
    const messages: MachineImages[][] = [];
    let freeBytes = 0;
    for (const machine of machines) {
      const print = imageFingerprint(machine);
      if (this.sentFingerprints.get(machine.machine) === print) continue;
      this.sentFingerprints.set(machine.machine, print);
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

/** What this node was sent by leaders, its own terms included. */
export class ImageHintCache {
  private readonly known = new Map<string, { machine: MachineImages; at: SteadyMs }>();

  /** Takes a message of hints in, and forgets what is old. */
  recordHints(machines: readonly MachineImages[], now: SteadyMs): void {
    for (const machine of machines) this.known.set(machine.machine, { machine, at: now });
    for (const [id, { at }] of this.known)
      if (durationBetween(at, now) > HINT_LIFETIME) this.known.delete(id);
  }

  /** The images that a machine probably holds, least recently used first; none if nothing is known. */
  imagesOnMachine(machine: string): MachineImages['images'] {
    return this.known.get(machine)?.machine.images ?? [];
  }
}
