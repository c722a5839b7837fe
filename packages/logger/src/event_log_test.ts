import { expect } from "chai";
import { EventLog } from "./event_log.ts";

interface Line {
  readonly event: string;
  readonly [field: string]: unknown;
}

function createLog(options: { bufferedBytes?: number } = {}) {
  const lines: Line[] = [];
  let steadyMs = 0;
  const output = {
    writableLength: options.bufferedBytes ?? 0,
    write: (text: string) => lines.push(JSON.parse(text)),
  };
  const log = new EventLog({
    process: "gateway",
    vmId: "vm-1",
    output,
    linesPerSecond: 10,
    burst: 20,
    readMonotonicMs: () => steadyMs,
    readWallMs: () => 1_780_000_000_000,
  });
  const wait = (ms: number) => {
    steadyMs += ms;
  };
  return { log, lines, output, wait };
}

describe("EventLog", () => {
  it("writes one JSON object per line, in order", () => {
    const { log, lines } = createLog();
    log.write("request_refused", { requestId: "a1", reason: "busy" });
    expect(lines).to.deep.equal([{
      time: "2026-05-28T20:26:40.000Z",
      process: "gateway",
      vm: "vm-1",
      sequence: 1,
      event: "request_refused",
      requestId: "a1",
      reason: "busy",
    }]);
  });

  // Thousands of refusals per second would use up the CPU that requests need.
  // Other events must still be written meanwhile.
  it("limits a flood of one event and reports the dropped lines", () => {
    const { log, lines, wait } = createLog();
    for (let i = 0; i < 6_000; i++) {
      log.write("flood", { i });
      wait(1);
    }
    log.write("other", {});
    const floods = lines.filter((line) => line.event === "flood");
    expect(floods.length).to.be.within(75, 85);
    expect(lines.at(-1)).to.include({ event: "other" });
    const reported = lines.filter((line) => line.event === "lines_dropped")
      .reduce((sum, line) => sum + Number(line.count), 0);
    expect(reported).to.be.greaterThan(4_000);
    expect(log.droppedTotal).to.equal(6_000 - floods.length);
  });

  it("drops lines while the reader has stopped, and writes again afterwards", () => {
    const { log, lines, output } = createLog({ bufferedBytes: 2_000_000 });
    log.write("request_sent", {});
    expect(lines).to.deep.equal([]);
    output.writableLength = 0;
    log.write("request_sent", {});
    expect(lines.map((line) => line.event)).to.include("request_sent");
    expect(log.droppedTotal).to.equal(1);
  });
});
