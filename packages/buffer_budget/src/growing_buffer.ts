/**
 * Bytes that are appended in small parts.
 *
 * @module
 */

const MIN_CAPACITY_BYTES = 1_024;

/**
 * Appends bytes in time proportional to their number, by doubling its capacity.
 *
 * @example
 * ```ts
 * const bytes = new GrowingBuffer();
 * bytes.append(Buffer.from("ab"));
 * bytes.append(Buffer.from("c"));
 * bytes.getBytes(-2); // "bc"
 * ```
 */
export class GrowingBuffer {
  #bytes = Buffer.alloc(0);
  #length = 0;
  #movedTotal = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that are in use. */
  get capacity(): number {
    return this.#bytes.length;
  }

  /** Bytes that were copied again to grow, so far. */
  get movedTotal(): number {
    return this.#movedTotal;
  }

  /** Appends a copy of bytes. */
  append(bytes: Uint8Array): void {
    const length = this.#length + bytes.length;
    if (length > this.#bytes.length) this.#setCapacity(length);
    this.#bytes.set(bytes, this.#length);
    this.#length = length;
  }

  /** Returns the bytes from an index on, as a view; negative ones count from the end. */
  getBytes(start = 0): Buffer {
    return this.#bytes.subarray(0, this.#length).subarray(start);
  }

  /** Drops all bytes and their memory. */
  drop(): void {
    this.#bytes = Buffer.alloc(0);
    this.#length = 0;
  }

  #setCapacity(minBytes: number): void {
    const capacity = Math.max(
      MIN_CAPACITY_BYTES,
      minBytes,
      2 * this.#bytes.length,
    );
    const grown = Buffer.allocUnsafe(capacity);
    grown.set(this.getBytes());
    this.#movedTotal += this.#length;
    this.#bytes = grown;
  }
}
