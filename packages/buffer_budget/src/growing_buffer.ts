/**
 * Bytes that are appended in small parts.
 *
 * @module
 */

const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/**
 * Appends bytes to blocks that are never moved, so that each byte is copied once.
 *
 * @example
 * ```ts
 * const bytes = new GrowingBuffer();
 * bytes.append(Buffer.from("ab"));
 * bytes.append(Buffer.from("c"));
 * bytes.getLast(2); // "bc"
 * ```
 */
export class GrowingBuffer {
  #blocks: Buffer[] = [];
  #capacity = 0;
  #length = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that are in use, at most one block more than `length`. */
  get capacity(): number {
    return this.#capacity;
  }

  /** Appends a copy of bytes. */
  append(bytes: Uint8Array): void {
    let start = 0;
    while (start < bytes.length) {
      if (this.#length === this.#capacity) this.#addBlock();
      const block = this.#blocks.at(-1)!;
      const at = block.length - (this.#capacity - this.#length);
      const part = bytes.subarray(start, start + block.length - at);
      block.set(part, at);
      this.#length += part.length;
      start += part.length;
    }
  }

  /** Returns a copy of all bytes. */
  getBytes(): Buffer {
    return Buffer.concat(this.#blocks, this.#length);
  }

  /** Returns a copy of the last bytes, at most `count`. */
  getLast(count: number): Buffer {
    const parts: Buffer[] = [];
    // Only the last block has bytes that are not in use.
    let end = this.#length - this.#capacity;
    let missing = count;
    for (let i = this.#blocks.length - 1; i >= 0 && missing > 0; i--) {
      const block = this.#blocks[i]!;
      const used = block.subarray(0, block.length + end);
      const part = used.subarray(-missing);
      parts.unshift(part);
      missing -= part.length;
      end = 0;
    }
    return Buffer.concat(parts);
  }

  /** Drops all bytes and their memory. */
  drop(): void {
    this.#blocks = [];
    this.#capacity = 0;
    this.#length = 0;
  }

  #addBlock(): void {
    const bytes = Math.max(MIN_BLOCK_BYTES, this.#capacity);
    const block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, bytes));
    this.#blocks.push(block);
    this.#capacity += block.length;
  }
}
