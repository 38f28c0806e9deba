/** What a machine probably has in its cache: the images used last, up to its size. */
export class ImageCache {
  private readonly held = new Map<string, number>();
  private used = 0;

  constructor(private sizeGb: number) {}

  resize(sizeGb: number): void {
    this.sizeGb = sizeGb;
  }

  use(image: string, gb: number): void {
    const known = this.held.get(image);
    if (known !== undefined) {
      this.held.delete(image);
      this.used -= known;
    }
    this.held.set(image, gb);
    this.used += gb;
    for (const [oldest, size] of this.held) {
      if (this.used <= this.sizeGb || oldest === image) break;
      this.held.delete(oldest);
      this.used -= size;
    }
  }

  list(): { name: string; gb: number }[] {
    return Array.from(this.held, ([name, gb]) => ({ name, gb }));
  }

  has(image: string): boolean {
    return this.held.has(image);
  }

  clear(): void {
    this.held.clear();
    this.used = 0;
  }
}
