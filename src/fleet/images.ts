/** What a machine probably has in its cache: the images used last, up to its size. */
export class ImageCache {
  private readonly sizes = new Map<string, number>();
  private used = 0;

  constructor(private sizeGb: number) {}

  resize(sizeGb: number): void {
    this.sizeGb = sizeGb;
  }

  use(image: string, gb: number): void {
    const known = this.sizes.get(image);
    if (known !== undefined) {
      this.sizes.delete(image);
      this.used -= known;
    }
    this.sizes.set(image, gb);
    this.used += gb;
    for (const [oldest, size] of this.sizes) {
      if (this.used <= this.sizeGb || oldest === image) break;
      this.sizes.delete(oldest);
      this.used -= size;
    }
  }

  list(): { name: string; gb: number }[] {
    return Array.from(this.sizes, ([name, gb]) => ({ name, gb }));
  }

  has(image: string): boolean {
    return this.sizes.has(image);
  }

  clear(): void {
    this.sizes.clear();
    this.used = 0;
  }
}
