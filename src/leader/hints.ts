import { ms, seconds, since, type SteadyMs } from '../units/index.js';

/** By machine: its images and their sizes, least lately used first. Worth time, never correctness. */
export type Hints = Record<string, [image: string, gb: number][]>;

/** All is told again this often, for a node that has just been started. */
const WHOLE_EVERY = seconds(20);
/** What was not told again for so long is forgotten. */
const FORGET = ms(WHOLE_EVERY * 3);
/** About how many bytes of hints go into one message: a frame holds a little more than 64 KiB. */
const PART_BYTES = 40 * 1024;

/** What a leader tells the other nodes of its machines: what changed, and all of it now and then. */
export class HintTeller {
  private readonly told = new Map<string, string>();
  private wholeAt: SteadyMs | undefined;

  /** What there is to tell now, in parts that fit a message. */
  parts(
    machines: Iterable<{ id: string; images: Hints[string] }>,
    now: SteadyMs,
  ): readonly Hints[] {
    const whole = this.wholeAt === undefined || since(this.wholeAt, now) >= WHOLE_EVERY;
    if (whole) {
      this.wholeAt = now;
      this.told.clear();
    }
    const parts: Hints[] = [];
    let room = 0;
    for (const { id, images } of machines) {
      const text = JSON.stringify(images);
      if (this.told.get(id) === text) continue;
      this.told.set(id, text);
      const bytes = id.length + text.length + 8;
      if (room < bytes || parts.length === 0) {
        parts.push({});
        room = PART_BYTES;
      }
      room -= bytes;
      const part = parts.at(-1);
      if (part) part[id] = images;
    }
    return parts;
  }
}

/** What this node was told by leaders, its own terms included. */
export class HintBook {
  private readonly known = new Map<string, { images: Hints[string]; at: SteadyMs }>();

  take(hints: Hints, now: SteadyMs): void {
    for (const [id, images] of Object.entries(hints)) this.known.set(id, { images, at: now });
    for (const [id, { at }] of this.known) if (since(at, now) > FORGET) this.known.delete(id);
  }

  of(id: string): Hints[string] {
    return this.known.get(id)?.images ?? [];
  }
}
