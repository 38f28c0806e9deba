/**
 * Which images machines hold, as the leader tells the other nodes, so that one that takes over places
 * by it. Worth time, never correctness.
 */
import type { MachineImages } from '../peer/messages.js';
import { ms, seconds, since, type SteadyMs } from '../units/index.js';

/** Everything is told again this often, for a node that has just been started. */
const FULL_INTERVAL = seconds(20);
/** What was not told again for so long is forgotten. */
const FORGET_AFTER = ms(FULL_INTERVAL * 3);
/** About how many bytes of hints go into one message: a frame holds a little more than 64 KiB. */
const MESSAGE_BYTES = 40 * 1024;
/** What a machine's id and one image take in a message beside their names. */
const OVERHEAD_BYTES = 12;

const sizeOf = (m: MachineImages): number =>
  m.images.reduce((n, i) => n + i.name.length + OVERHEAD_BYTES, m.machine.length + OVERHEAD_BYTES);

const fingerprint = (m: MachineImages): string => m.images.map((i) => i.name).join(' ');

/** Chooses what the leader tells: what changed, and everything now and then. */
export class ImageHintSender {
  private readonly sentFingerprints = new Map<string, string>();
  private fullySentAt: SteadyMs | undefined;

  /** What there is to tell now, in parts that each fit a message. */
  nextMessages(
    machines: Iterable<MachineImages>,
    now: SteadyMs,
  ): readonly (readonly MachineImages[])[] {
    if (this.fullySentAt === undefined || since(this.fullySentAt, now) >= FULL_INTERVAL) {
      this.fullySentAt = now;
      this.sentFingerprints.clear();
    }
    const parts: MachineImages[][] = [];
    let room = 0;
    for (const machine of machines) {
      const print = fingerprint(machine);
      if (this.sentFingerprints.get(machine.machine) === print) continue;
      this.sentFingerprints.set(machine.machine, print);
      const bytes = sizeOf(machine);
      if (room < bytes || parts.length === 0) {
        parts.push([]);
        room = MESSAGE_BYTES;
      }
      room -= bytes;
      parts.at(-1)?.push(machine);
    }
    return parts;
  }
}

/** What this node was told by leaders, its own terms included. */
export class ImageHints {
  private readonly known = new Map<string, { machine: MachineImages; at: SteadyMs }>();

  record(machines: readonly MachineImages[], now: SteadyMs): void {
    for (const machine of machines) this.known.set(machine.machine, { machine, at: now });
    for (const [id, { at }] of this.known) if (since(at, now) > FORGET_AFTER) this.known.delete(id);
  }

  imagesOf(machine: string): MachineImages['images'] {
    return this.known.get(machine)?.machine.images ?? [];
  }
}
