import { expect } from "chai";
import type * as answerHeads from "@sardinestep/answer_heads";
import { mayBeCutOff } from "./answer_deadline.ts";

const TIMES = { sentAt: 1_000, leftMs: 6_000, deadlineAt: 7_000.4 };

describe("mayBeCutOff", () => {
  const rows: [answerHeads.Framing, number, boolean][] = [
    ["chunks", 6_990, false],
    ["connection", 6_990, false],
    // The clock of the endpoint runs faster, or its timer is early.
    ["chunks", 6_996, true],
    ["connection", 6_996, true],
    ["chunks", 9_000, true],
    ["length", 9_000, false],
    ["none", 9_000, false],
  ];
  for (const [framing, endedAt, isCut] of rows) {
    it(`is ${isCut} for ${framing} at ${endedAt} ms`, () => {
      expect(mayBeCutOff({ framing, endedAt, ...TIMES })).to.equal(isCut);
    });
  }

  it("is true from the request's deadline on, also if it was sent late", () => {
    const times = { ...TIMES, sentAt: 1_100, endedAt: 7_000.4 };
    expect(mayBeCutOff({ framing: "chunks", ...times })).to.equal(true);
    expect(mayBeCutOff({ framing: "chunks", ...times, endedAt: 7_000 }))
      .to.equal(false);
  });
});
