import { expect } from "chai";
import { decideCallStart } from "./decide_call_start.ts";
import { PieceWork } from "./piece_work.ts";

const OPTIONS = {
  pieces: 8,
  callMs: 150,
  pieceMs: 2,
  freedPiecesPerMs: 0.3,
  waitedMs: 0,
};

describe("decideCallStart", () => {
  // An endpoint without space spent a call's fixed cost on the few pieces that fit.
  it("waits while space is freed faster than the call would make pieces", () => {
    expect(decideCallStart(OPTIONS).kind).to.equal("wait");
    expect(decideCallStart({ ...OPTIONS, pieces: 50 }).kind).to.equal("start");
    const slowly = { ...OPTIONS, freedPiecesPerMs: 0.03 };
    expect(decideCallStart(slowly).kind).to.equal("start");
  });

  // If results are never released, an endpoint that waits for them stays idle.
  it("starts after half of the fixed cost at the latest", () => {
    expect(decideCallStart({ ...OPTIONS, waitedMs: 75 }).kind)
      .to.equal("start");
  });
});

describe("PieceWork", () => {
  // Counted as in full calls, a plan keeps more groups than slow hosts serve in time.
  it("gives the ratio of recent calls to full calls as configured", () => {
    const work = new PieceWork();
    expect(work.getRatio()).to.equal(1);
    for (let call = 0; call < 50; call++) work.record(400, 200);
    expect(work.getRatio()).to.be.closeTo(2, 1e-6);
    for (let call = 0; call < 200; call++) work.record(9_000, 200);
    expect(work.getRatio()).to.equal(3);
  });
});
