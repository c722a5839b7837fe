/** Writes what was sent, answered and run, with the time since the start. */
import { createWriteStream } from "node:fs";

export class Record {
  #startedAt = performance.now();
  #stream;

  constructor(path) {
    this.#stream = createWriteStream(path);
  }

  /** Milliseconds since the start. */
  get nowMs() {
    return performance.now() - this.#startedAt;
  }

  write(text) {
    const seconds = (this.nowMs / 1_000).toFixed(3).padStart(8);
    this.#stream.write(`${seconds} ${text}\n`);
  }

  close() {
    return new Promise((done) => this.#stream.end(done));
  }
}
