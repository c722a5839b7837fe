import { expect } from "chai";
import {
  type ChainAdmissionInput,
  decideChainAdmission,
  getDeferredWaitMs,
} from "./chain_admission.ts";

const IDLE: ChainAdmissionInput = {
  stagesMs: 830,
  waitMs: 0,
  deferredWaitMs: 0,
  heldMs: 0,
  resultTtlMs: 4_000,
  firstEventMs: 220,
  marginMs: 300,
  aheadMs: 0,
  objectiveMs: 1_600,
  timeoutMs: 5_000,
  isReturn: false,
};

describe("decideChainAdmission", () => {
  it("is on time while the expected time and the margin fit", () => {
    const decide = (waitMs: number) =>
      decideChainAdmission({ ...IDLE, waitMs, deferredWaitMs: waitMs });
    expect(decide(250)).to.deep.equal({ kind: "onTime", expectedMs: 1_300 });
    expect(decide(251)).to.deep.equal({ kind: "deferred", expectedMs: 1_301 });
  });

  // Without the work ahead, every request of a burst finds later pools idle.
  it("counts work that was admitted ahead", () => {
    const decision = decideChainAdmission({ ...IDLE, aheadMs: 251 });
    expect(decision.kind).to.equal("deferred");
  });

  // A margin of a slow route would otherwise defer everything on idle pools.
  it("is on time on idle pools, whatever the margin", () => {
    const decision = decideChainAdmission({ ...IDLE, marginMs: 900 });
    expect(decision.kind).to.equal("onTime");
  });

  it("is refused at once if the queue leaves no answer before the deadline", () => {
    const decide = (deferredWaitMs: number) =>
      decideChainAdmission({ ...IDLE, waitMs: 600, deferredWaitMs });
    expect(decide(3_650).kind).to.equal("deferred");
    expect(decide(3_700)).to.deep.equal({
      kind: "refused",
      reason: "busy",
      expectedMs: 4_750,
      roomMs: 50,
    });
  });

  // Callers of streams leave before the deadline; their work would be wasted.
  it("counts the patience of callers as a deadline", () => {
    const decision = decideChainAdmission({
      ...IDLE,
      waitMs: 600,
      deferredWaitMs: 1_500,
      patienceMs: 2_500,
    });
    expect(decision).to.include({ kind: "refused", reason: "busy" });
  });

  // Results are kept for 4 s; a request that waits longer repeats its stages.
  it("is refused if results would expire before the next stage", () => {
    const decision = decideChainAdmission({
      ...IDLE,
      waitMs: 600,
      deferredWaitMs: 4_500,
      heldMs: 4_500,
      timeoutMs: 15_000,
    });
    expect(decision).to.include({ reason: "resultsExpire", roomMs: 500 });
  });

  // Guards against a second refusal of callers who can still be answered.
  it("accepts a return while it can be answered before its deadline", () => {
    const decide = (deferredWaitMs: number) =>
      decideChainAdmission({
        ...IDLE,
        waitMs: 500,
        aheadMs: 900,
        deferredWaitMs,
        heldMs: 9_000,
        timeoutMs: 3_000,
        isReturn: true,
      }).kind;
    expect(decide(1_950)).to.equal("deferred");
    expect(decide(1_951)).to.equal("refused");
  });

  it("is out of reach if the stages alone take longer than the caller waits", () => {
    const decision = decideChainAdmission({ ...IDLE, timeoutMs: 1_000 });
    expect(decision).to.include({ reason: "deadlineOutOfReach" });
  });
});

describe("getDeferredWaitMs", () => {
  // Groups on time that arrive later go first, so the queue drains slowly.
  it("counts deferred groups by the share of the pool that they get", () => {
    expect(getDeferredWaitMs(400, 500, false)).to.equal(900);
    expect(getDeferredWaitMs(400, 300, false)).to.equal(400);
  });
});
