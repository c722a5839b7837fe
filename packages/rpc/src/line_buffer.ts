/**
 * Splits a stream of bytes into lines.
 *
 * @module
 */
import * as bufferBudget from "@sardinestep/buffer_budget";

const LINE_FEED = 10;

/** What a part of a stream completed. */
export type LineStep =
  /** Complete lines without their ends; they may be none. */
  | { readonly kind: "lines"; readonly lines: readonly string[] }
  /** A line exceeds the limit. */
  | { readonly kind: "tooLong" };

/**
 * Keeps an incomplete line until its end arrives, in time proportional to its bytes.
 *
 * @example
 * ```ts
 * const buffer = new LineBuffer(1_024);
 * buffer.addBytes(Buffer.from("a\nb")); // { kind: "lines", lines: ["a"] }
 * ```
 */
export class LineBuffer {
  readonly #maxBytes: number;
  readonly #partial = new bufferBudget.GrowingBuffer();

  /** @param maxBytes Longest line, in bytes. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Appends bytes and returns the lines that they complete. */
  addBytes(chunk: Uint8Array): LineStep {
    const lines: string[] = [];
    let start = 0;
    let end = chunk.indexOf(LINE_FEED);
    while (end >= 0) {
      if (!this.#append(chunk.subarray(start, end))) return { kind: "tooLong" };
      lines.push(this.#partial.getBytes().toString("utf8"));
      this.#partial.drop();
      start = end + 1;
      end = chunk.indexOf(LINE_FEED, start);
    }
    return this.#append(chunk.subarray(start))
      ? { kind: "lines", lines }
      : { kind: "tooLong" };
  }

  /** Appends to the incomplete line; false if it is too long, which drops it. */
  #append(bytes: Uint8Array): boolean {
    if (this.#partial.length + bytes.length > this.#maxBytes) {
      this.#partial.drop();
      return false;
    }
    this.#partial.append(bytes);
    return true;
  }
}
