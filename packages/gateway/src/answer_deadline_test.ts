import { expect } from "chai";
import type * as answerHeads from "@sardinestep/answer_heads";
import { type EndVerdict, judgeEnd, type Moment } from "./answer_deadline.ts";

const WALL_MS = 1_700_000_000_000;
const TIMES = { leftMs: 6_000, deadlineAt: 7_000.4 };

/** The moment at a monotonic time, on a machine that was suspended before. */
function at(steadyMs: number, suspendedMs = 0): Moment {
  return { steadyMs, wallMs: WALL_MS + Math.floor(steadyMs) + suspendedMs };
}

const sentAt = at(1_000);

describe("judgeEnd", () => {
  const rows: [answerHeads.Framing, number, EndVerdict][] = [
    ["chunks", 6_985, "whole"],
    ["connection", 6_985, "whole"],
    // The clock of the endpoint runs faster, or its timer is early.
    ["chunks", 6_988, "timeUp"],
    ["connection", 6_988, "timeUp"],
    ["chunks", 9_000, "timeUp"],
    ["length", 9_000, "whole"],
    ["none", 9_000, "whole"],
  ];
  for (const [framing, endedAt, verdict] of rows) {
    it(`is ${verdict} for ${framing} at ${endedAt} ms`, () => {
      const times = { framing, sentAt, endedAt: at(endedAt), ...TIMES };
      expect(judgeEnd(times)).to.equal(verdict);
    });
  }

  it("holds the request's deadline, also if it was sent late", () => {
    const judge = (endedAt: number) =>
      judgeEnd({
        framing: "chunks",
        sentAt: at(1_100),
        endedAt: at(endedAt),
        ...TIMES,
      });
    expect(judge(7_000.4)).to.equal("timeUp");
    expect(judge(6_999)).to.equal("whole");
  });

  // The steady clock doesn't count the time for which a machine is suspended.
  it("is uncertain if the time of day says that the time was up", () => {
    const judge = (endedAt: Moment, framing: answerHeads.Framing = "chunks") =>
      judgeEnd({ framing, sentAt, endedAt, ...TIMES });
    expect(judge(at(3_000, 4_000))).to.equal("uncertain");
    expect(judge(at(3_000, 3_000))).to.equal("whole");
    expect(judge(at(3_000, -60_000))).to.equal("whole");
    expect(judge(at(3_000, 4_000), "length")).to.equal("whole");
  });
});
