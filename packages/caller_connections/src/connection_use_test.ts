import { expect } from "chai";
import { planCallerCapacity } from "./caller_capacity.ts";
import {
  type ConnectionUse,
  decideFate,
  pickExcess,
} from "./connection_use.ts";

const UNUSED_EARLY: ConnectionUse = { kind: "unused", since: 10 };
const UNUSED_LATE: ConnectionUse = { kind: "unused", since: 90 };
const STALLED: ConnectionUse = { kind: "reading", stalledMs: 500 };
const READING: ConnectionUse = { kind: "reading", stalledMs: 1 };
const RUNNING: ConnectionUse = { kind: "running" };
const IDLE: ConnectionUse = { kind: "idle", since: 0 };

function pickName(uses: Record<string, ConnectionUse>): string | undefined {
  const connections = Object.entries(uses)
    .map(([connection, use]) => ({ connection, use }));
  return pickExcess(connections, 100);
}

describe("pickExcess", () => {
  it("picks the connection that is unused for longest, then the body that stalls", () => {
    const bodies = { RUNNING, READING, STALLED, IDLE };
    expect(pickName({ ...bodies, UNUSED_LATE, UNUSED_EARLY })).to.equal(
      "UNUSED_EARLY",
    );
    expect(pickName(bodies)).to.equal("STALLED");
  });

  // A request that runs would lose its answer, and a kept connection its next one.
  it("picks none that has a request, or is between two of them", () => {
    expect(pickName({ RUNNING, IDLE })).to.equal(undefined);
  });
});

describe("decideFate", () => {
  const limits = {
    maxHeaderBytes: 1_000,
    headerTimeoutMs: 50,
    idleTimeoutMs: 200,
  };
  const decide = (use: ConnectionUse, strayBytes: number, now = 100) =>
    decideFate({ use, strayBytes }, { limits, now }).kind;

  it("leaves what a head within its limits needs", () => {
    for (const use of [UNUSED_EARLY, RUNNING, IDLE]) {
      expect(decide(use, 1_000)).to.equal("open");
    }
    expect(decide(IDLE, 0, 900)).to.equal("open");
    expect(decide(READING, 100_000)).to.equal("open");
  });

  // Bytes that are no request count as activity.
  it("closes a connection that sends more, or for longer", () => {
    expect(decide(UNUSED_EARLY, 1_001)).to.equal("refuse");
    expect(decide(IDLE, 1_001)).to.equal("refuse");
    expect(decide(IDLE, 1, 251)).to.equal("timeOut");
    expect(decide(RUNNING, 1_001)).to.equal("closeAfterAnswers");
  });
});

describe("planCallerCapacity", () => {
  it("leaves memory and descriptors for the rest of the process", () => {
    expect(planCallerCapacity({ memoryMb: 160, descriptors: 4_100 })).to.deep
      .equal({
        maxConnections: 1_950,
        maxHeadBytes: 2 * 1_048_576,
        maxBufferedBytes: 24 * 1_048_576,
      });
    expect(planCallerCapacity({ memoryMb: 640, descriptors: 8_192 })).to.deep
      .equal({
        maxConnections: 3_996,
        maxHeadBytes: 8 * 1_048_576,
        maxBufferedBytes: 48 * 1_048_576,
      });
    expect(
      planCallerCapacity({ memoryMb: 160, descriptors: 150 }).maxConnections,
    )
      .to.equal(37);
  });
});
