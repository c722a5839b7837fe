/**
 * A queue of bytes whose memory is close to the bytes in it.
 *
 * @module
 */

/** Size of the blocks that small chunks are copied into, in bytes. */
const BLOCK_BYTES = 16_384;
/** Chunks from this size on are kept as they are, in bytes. */
const MIN_OWN_BYTES = BLOCK_BYTES / 4;

/**
 * Keeps bytes in order.
 *
 * Events of a stream are often shorter than 100 bytes, less than the objects that
 * hold each of them; therefore small chunks are copied into blocks.
 *
 * @example
 * ```ts
 * const queue = new ByteQueue();
 * queue.add(Buffer.from("abc"));
 * queue.removeFirst(2); // "ab"
 * ```
 */
export class ByteQueue {
  #chunks: Uint8Array[] = [];
  #block: Uint8Array | undefined;
  #blockUsed = 0;
  #length = 0;

  /** Bytes in the queue. */
  get length(): number {
    return this.#length;
  }

  /** Appends bytes; the caller must not change them afterwards. */
  add(bytes: Uint8Array): void {
    this.#length += bytes.length;
    if (bytes.length >= MIN_OWN_BYTES) {
      this.#closeBlock();
      this.#chunks.push(bytes);
      return;
    }
    if (this.#blockUsed + bytes.length > BLOCK_BYTES) this.#closeBlock();
    this.#block ??= new Uint8Array(BLOCK_BYTES);
    this.#block.set(bytes, this.#blockUsed);
    this.#blockUsed += bytes.length;
  }

  /** Removes and returns 1 to `maxBytes` bytes from the front; none if the queue is empty. */
  removeFirst(maxBytes: number): Uint8Array {
    if (this.#chunks.length === 0) this.#closeBlock();
    const [first] = this.#chunks;
    if (first === undefined) return new Uint8Array(0);
    const taken = first.subarray(0, maxBytes);
    if (taken.length === first.length) this.#chunks.shift();
    else this.#chunks[0] = first.subarray(taken.length);
    this.#length -= taken.length;
    return taken;
  }

  /** Drops everything. */
  drop(): void {
    this.#chunks = [];
    this.#block = undefined;
    this.#blockUsed = 0;
    this.#length = 0;
  }

  #closeBlock(): void {
    if (this.#block === undefined) return;
    const used = this.#block.subarray(0, this.#blockUsed);
    const isMostlyFree = this.#blockUsed < BLOCK_BYTES / 2;
    this.#chunks.push(isMostlyFree ? used.slice() : used);
    this.#block = undefined;
    this.#blockUsed = 0;
  }
}
