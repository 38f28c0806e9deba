/** Estimates which images a machine holds in its cache. */

/** The most recently used images that fit the cache together, ordered from least to most recently used. */
export class ImageCache {
  private readonly sizes = new Map<string, number>();
  private usedGb = 0;

  constructor(private capacityGb: number) {}

  /** Sets the capacity. Images that exceed it are evicted on the next use of an image. */
  resize(capacityGb: number): void {
    this.capacityGb = capacityGb;
  }

  /** Records the use of an image. An image larger than the whole cache is kept as the only one. */
  recordUse(image: string, sizeGb: number): void {
    const knownSize = this.sizes.get(image);
    if (knownSize !== undefined) {
      this.sizes.delete(image);
      this.usedGb -= knownSize;
    }
    this.sizes.set(image, sizeGb);
    this.usedGb += sizeGb;
    for (const [oldest, size] of this.sizes) {
      if (this.usedGb <= this.capacityGb || oldest === image) break;
      this.sizes.delete(oldest);
      this.usedGb -= size;
    }
  }

  /** The images with their sizes in GB, least recently used first. */
  list(): { name: string; gb: number }[] {
    return Array.from(this.sizes, ([name, gb]) => ({ name, gb }));
  }

  has(image: string): boolean {
    return this.sizes.has(image);
  }
}
