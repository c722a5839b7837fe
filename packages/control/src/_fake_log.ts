/**
 * A fake log that the test controls: appends wait until the test answers them.
 *
 * @module
 */
import type * as ports from "@sardinestep/ports";
import { Err, Ok, type Result } from "ts-results-es";

type AppendResult = Result<ports.AppendReceipt, ports.PortError>;

/** An append without an answer so far. */
export interface PendingAppend {
  readonly value: unknown;
  /** Stores the record and answers with its offset. */
  succeed(): Promise<void>;
  /** Stores the record, but fails the append as one whose answer was lost. */
  loseAnswer(): Promise<void>;
  /** Stores nothing and answers with an error. */
  fail(
    kind: ports.PortErrorKind,
    retryAfterMs?: number,
  ): Promise<void>;
}

/** Keeps one stream; reads wait for new records. */
export class FakeLog implements ports.LogPort {
  readonly records: ports.LogRecord[] = [];
  readonly appends: PendingAppend[] = [];
  #isDown = false;
  #waitingReaders: (() => void)[] = [];

  /** Starts or ends an outage; waiting reads fail at once. */
  setDown(isDown: boolean): void {
    this.#isDown = isDown;
    this.#wake();
  }

  /** Stores a record, as if another process had appended it. */
  addRecord(value: unknown): ports.AppendReceipt {
    const receipt = { offset: this.records.length, time: Date.now() };
    this.records.push({ ...receipt, value });
    this.#wake();
    return receipt;
  }

  append(_stream: string, value: unknown): Promise<AppendResult> {
    return new Promise((resolve) => {
      const settle = async (answer: AppendResult) => {
        resolve(answer);
        await runTasks();
      };
      this.appends.push({
        value,
        succeed: () => settle(Ok(this.addRecord(value))),
        loseAnswer: () => {
          this.addRecord(value);
          return settle(
            Err({
              kind: "answer_lost",
              message: "Append stored, but its answer was lost",
            }),
          );
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
    const hasNewRecords = this.records.length > from;
    if (!hasNewRecords && waitMs > 0 && !this.#isDown) {
      await new Promise<void>((wake) => this.#waitingReaders.push(wake));
    }
    if (this.#isDown) return Err({ kind: "not_sent", message: "Log is down" });
    const endOffset = this.records.length;
    return Ok({ records: this.records.slice(from), firstOffset: 0, endOffset });
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #wake(): void {
    for (const wake of this.#waitingReaders.splice(0)) wake();
  }
}

/** Runs all pending tasks, except those that wait for a timer. */
export async function runTasks(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await new Promise((done) => setImmediate(done));
  }
}
