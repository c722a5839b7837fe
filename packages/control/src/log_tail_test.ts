import type * as ports from "@sardinestep/ports";
import { expect } from "chai";
import { Ok } from "ts-results-es";
import { LogTail } from "./log_tail.ts";

/** A log that gives all its records in one page and then holds the read. */
function createLog(values: readonly unknown[]): ports.LogPort {
  const records = values.map((value, offset) => ({ offset, time: 0, value }));
  return {
    append: () => new Promise(() => {}),
    read: (_stream, { from }) =>
      from >= records.length ? new Promise(() => {}) : Promise.resolve(
        Ok({ records, firstOffset: 0, endOffset: records.length }),
      ),
    close: () => Promise.resolve(),
  };
}

describe("LogTail", () => {
  // Every entry keeps the configuration of the morning although operators
  // publish all day, and no line says why. The handling of one record threw;
  // the exception ended the loop that reads the log, and the process lived on.
  it("reads on behind a record whose handling fails", async () => {
    const seen: number[] = [];
    const faults: unknown[] = [];
    const isRead = new Promise<void>((resolve) => {
      const tail = new LogTail({
        log: createLog(["a", "b", "c"]),
        stream: "s",
        onRecord: ({ offset }) => {
          seen.push(offset);
          if (offset === 1) throw new Error("fault");
          if (offset === 2) {
            tail.close();
            resolve();
          }
        },
        onFault: (error) => faults.push(error),
        onReachable: () => {},
      });
      tail.start();
    });
    await isRead;
    expect(seen).to.deep.equal([0, 1, 2]);
    expect(faults).to.have.length(1);
  });

  it("hands on what was just appended only where nothing is missing", () => {
    const seen: number[] = [];
    const tail = new LogTail({
      log: createLog([]),
      stream: "s",
      onRecord: ({ offset }) => seen.push(offset),
      onFault: () => {},
      onReachable: () => {},
    });
    tail.applyAppended({ offset: 1, time: 0 }, "b");
    tail.applyAppended({ offset: 0, time: 0 }, "a");
    tail.applyAppended({ offset: 1, time: 0 }, "b");
    tail.applyAppended({ offset: 1, time: 0 }, "b");
    expect(seen).to.deep.equal([0, 1]);
  });
});
