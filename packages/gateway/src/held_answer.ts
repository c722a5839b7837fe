/**
 * Memory that one attempt holds for its answer.
 *
 * @module
 */
import * as bufferBudget from "@sardinestep/buffer_budget";

/** Counts the bytes of one answer toward the budget of the process. */
export class HeldAnswer {
  readonly #account: bufferBudget.BufferAccount | undefined;
  #bytes = 0;

  /** @param account The account of the request; without one nothing is bounded. */
  constructor(account: bufferBudget.BufferAccount | undefined) {
    this.#account = account;
  }

  /** Sets how many bytes are held; false if no more of the answer may be read. */
  set(bytes: number): boolean {
    const { answer } = bufferBudget.BUFFER_KIND;
    const addedBytes = bytes - this.#bytes;
    this.#bytes = bytes;
    if (addedBytes <= 0) {
      this.#account?.release(answer, -addedBytes);
      return true;
    }
    this.#account?.add(answer, addedBytes);
    return this.#account?.mayReadAnswer() ?? true;
  }
}
