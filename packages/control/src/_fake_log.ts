/**
 * A log played by the test: appends wait until they are answered.
 *
 * @module
 */
import type * as ports from "@sardinestep/ports";
import { Err, Ok, type Result } from "ts-results-es";

type Appended = Result<ports.AppendReceipt, ports.PortError>;

/** An append that waits for its answer. */
export interface WaitingAppend {
  readonly value: unknown;
  /** Places the record and answers. */
  succeed(): Promise<void>;
  /** Places the record and loses the answer. */
  loseAnswer(): Promise<void>;
  /** Places nothing. */
  fail(
    kind: ports.PortErrorKind,
    retryAfterMs?: number,
  ): Promise<void>;
}

/** Keeps one stream; reads wait while there is nothing new. */
export class FakeLog implements ports.LogPort {
  readonly records: ports.LogRecord[] = [];
  readonly appends: WaitingAppend[] = [];
  #isDown = false;
  #wakeReaders: (() => void)[] = [];

  /** Ends or begins an outage; waiting reads fail at once. */
  setDown(isDown: boolean): void {
    this.#isDown = isDown;
    this.#wake();
  }

  /** Places a record, as from another process. */
  place(value: unknown): ports.AppendReceipt {
    const receipt = { offset: this.records.length, time: Date.now() };
    this.records.push({ ...receipt, value });
    this.#wake();
    return receipt;
  }

  append(_stream: string, value: unknown): Promise<Appended> {
    return new Promise((resolve) => {
      const settle = async (answer: Appended) => {
        resolve(answer);
        await letRun();
      };
      this.appends.push({
        value,
        succeed: () => settle(Ok(this.place(value))),
        loseAnswer: () => {
          this.place(value);
          return settle(Err({ kind: "answer_lost", message: "Lost" }));
        },
        fail: (kind, retryAfterMs) =>
          settle(Err({ kind, message: kind, retryAfterMs })),
      });
    });
  }

  async read(
    _stream: string,
    { from, waitMs }: ports.ReadOptions,
  ): Promise<Result<ports.LogPage, ports.PortError>> {
    const isNews = this.records.length > from;
    if (!isNews && waitMs > 0 && !this.#isDown) {
      await new Promise<void>((wake) => this.#wakeReaders.push(wake));
    }
    if (this.#isDown) return Err({ kind: "not_sent", message: "Down" });
    const endOffset = this.records.length;
    return Ok({ records: this.records.slice(from), firstOffset: 0, endOffset });
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #wake(): void {
    for (const wake of this.#wakeReaders.splice(0)) wake();
  }
}

/** Lets everything run that waits for no clock. */
export async function letRun(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await new Promise((done) => setImmediate(done));
  }
}
