import { expect } from "chai";
import {
  type AdmissionInput,
  decideAdmission,
  mayServeWhileStopping,
  planGiveUp,
} from "./admission.ts";

const CALM: AdmissionInput = {
  stagesMs: 800,
  waitMs: 0,
  firstEventMs: 150,
  objectiveMs: 1_700,
  leftMs: 8_000,
  isReturn: false,
};

describe("decideAdmission", () => {
  it("takes what can be in time", () => {
    expect(decideAdmission(CALM)).to.deep.equal({
      kind: "admitted",
      expectedMs: 950,
    });
  });

  // In a burst every request waits for all before it. Taken one and all, each
  // costs the pools its share and most are late: nobody gains.
  it("refuses at the door when queues make the answer late", () => {
    const decision = decideAdmission({ ...CALM, waitMs: 1_400 });
    expect(decision).to.deep.equal({
      kind: "refused",
      reason: "busy",
      expectedMs: 2_350,
      retryAfterMs: 2_000,
    });
  });

  // After a burst the callers that were refused come back. Their objective has
  // passed, so they looked late at once and were refused again while the pools
  // were all but idle: nobody served them at all.
  it("takes a caller that came back unless the queues are very long", () => {
    const decide = (waitMs: number, isReturn: boolean) =>
      decideAdmission({
        ...CALM,
        isReturn,
        objectiveMs: 1_000,
        waitMs,
      }).kind;
    expect(decide(900, false)).to.equal("refused");
    expect(decide(900, true)).to.equal("admitted");
    expect(decide(1_100, true)).to.equal("refused");
  });

  it("refuses what its caller can't wait for, whatever the queues", () => {
    const decision = decideAdmission({ ...CALM, leftMs: 500 });
    expect(decision).to.include({ kind: "refused", reason: "noTime" });
  });

  // Callers of a stream leave when nothing has begun for some seconds, long before
  // their deadline. Taken by the deadline, a request is held and worked for until
  // its caller goes; refused at once, the caller comes back and is served.
  it("refuses what begins after its caller has left", () => {
    const patient = { ...CALM, leftMs: 15_000, isReturn: true, waitMs: 900 };
    const decide = (patienceMs: number) =>
      decideAdmission({ ...patient, patienceMs });
    expect(decide(1_851).kind).to.equal("admitted");
    expect(decide(1_849)).to.deep.equal({
      kind: "refused",
      reason: "noTime",
      expectedMs: 1_850,
      retryAfterMs: 3_750,
    });
  });

  it("takes a late request where nothing waits: refusing gains nothing", () => {
    const decision = decideAdmission({ ...CALM, objectiveMs: 100 });
    expect(decision.kind).to.equal("admitted");
  });
});

describe("mayServeWhileStopping", () => {
  // A VM is told to stop. 3.5 s later a caller uses its open connection for a
  // stream of five seconds; the VM's grace ends in the middle of it and the
  // caller gets half an answer, although another VM could have served it whole.
  it("takes late requests only if they must end before the exit", () => {
    const early = { sinceMs: 100, leftMs: 7_200 };
    const late = { sinceMs: 3_500, leftMs: 3_800 };
    expect(mayServeWhileStopping(undefined, 15_000)).to.equal(true);
    expect(mayServeWhileStopping(early, 15_000)).to.equal(true);
    expect(mayServeWhileStopping(late, 15_000)).to.equal(false);
    expect(mayServeWhileStopping(late, 600)).to.equal(true);
  });
});

describe("mayServeWhileStopping, where the grace is short", () => {
  // A VM has 1.3 s from the stop to its exit. Callers go on using their open
  // connections; what they send in the last moments is cut by the exit, since the
  // VM still counted as newly stopped.
  it("takes nothing that the exit would cut", () => {
    expect(mayServeWhileStopping({ sinceMs: 300, leftMs: 1_000 }, 1_500))
      .to.equal(true);
    expect(mayServeWhileStopping({ sinceMs: 900, leftMs: 400 }, 1_500))
      .to.equal(false);
    expect(mayServeWhileStopping({ sinceMs: 900, leftMs: 400 }, 300))
      .to.equal(true);
  });
});

describe("planGiveUp", () => {
  const base = { now: 0, dueAt: 600, expiresAt: 7_000, isReturn: false };

  it("gives new requests up soon after they can't be in time", () => {
    expect(planGiveUp({ ...base, isInvested: false })).to.equal(1_000);
    expect(planGiveUp({ ...base, isInvested: false, dueAt: -900 }))
      .to.equal(400);
    expect(planGiveUp({ ...base, isInvested: false, expiresAt: 200 }))
      .to.equal(200);
    expect(planGiveUp({ ...base, isInvested: false, isReturn: true }))
      .to.equal(1_600);
  });

  it("finishes what was worked for while the caller waits", () => {
    expect(planGiveUp({ ...base, isInvested: true })).to.equal(7_000);
  });
});
