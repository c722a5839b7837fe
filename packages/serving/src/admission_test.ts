import { expect } from "chai";
import {
  type AdmissionInput,
  decideAdmission,
  mayServeWhileStopping,
  planGiveUp,
} from "./admission.ts";

const IDLE: AdmissionInput = {
  stagesMs: 800,
  waitMs: 0,
  firstEventMs: 150,
  objectiveMs: 1_700,
  timeoutMs: 8_000,
  isReturn: false,
};

describe("decideAdmission", () => {
  it("accepts a request that can meet its objective", () => {
    expect(decideAdmission(IDLE)).to.deep.equal({
      kind: "admitted",
      expectedMs: 950,
    });
  });

  // In a burst every request queues behind all earlier ones. If all are accepted,
  // each uses its share of the pools and most miss their objectives.
  it("rejects a request when queues would make its answer late", () => {
    const decision = decideAdmission({ ...IDLE, waitMs: 1_400 });
    expect(decision).to.deep.equal({
      kind: "refused",
      reason: "busy",
      expectedMs: 2_350,
      retryAfterMs: 2_000,
    });
  });

  // After a burst, rejected callers retry. Their objectives have passed, so they
  // were rejected again as late although the pools were almost idle, and got no
  // answer.
  it("accepts a retry unless the queues are very long", () => {
    const decide = (waitMs: number, isReturn: boolean) =>
      decideAdmission({
        ...IDLE,
        isReturn,
        objectiveMs: 1_000,
        waitMs,
      }).kind;
    expect(decide(900, false)).to.equal("refused");
    expect(decide(900, true)).to.equal("admitted");
    expect(decide(1_100, true)).to.equal("refused");
  });

  it("rejects a request whose caller leaves too early, whatever the queues", () => {
    const decision = decideAdmission({ ...IDLE, timeoutMs: 500 });
    expect(decision).to.include({
      kind: "refused",
      reason: "deadlineOutOfReach",
    });
  });

  // Callers of a stream leave when no event arrives for some seconds, long before
  // their deadline. Admission by the deadline alone spends work on a request whose
  // caller leaves; if rejected at once, the caller retries and gets an answer.
  it("rejects a request whose first event would come after its caller leaves", () => {
    const request = { ...IDLE, timeoutMs: 15_000, isReturn: true, waitMs: 900 };
    const decide = (patienceMs: number) =>
      decideAdmission({ ...request, patienceMs });
    expect(decide(1_851).kind).to.equal("admitted");
    expect(decide(1_849)).to.deep.equal({
      kind: "refused",
      reason: "deadlineOutOfReach",
      expectedMs: 1_850,
      retryAfterMs: 3_750,
    });
  });

  it("accepts a late request when the queues are empty", () => {
    const decision = decideAdmission({ ...IDLE, objectiveMs: 100 });
    expect(decision.kind).to.equal("admitted");
  });
});

describe("mayServeWhileStopping", () => {
  // A stopping VM accepted requests that its exit then cut off.
  it("accepts requests only if their deadlines lie before the exit", () => {
    expect(mayServeWhileStopping(undefined, 15_000)).to.equal(true);
    expect(mayServeWhileStopping({ leftMs: 7_200 }, 15_000)).to.equal(false);
    expect(mayServeWhileStopping({ leftMs: 7_200 }, 6_000)).to.equal(true);
    expect(mayServeWhileStopping({ leftMs: 3_800 }, 15_000)).to.equal(false);
    expect(mayServeWhileStopping({ leftMs: 3_800 }, 600)).to.equal(true);
  });

  it("does so from the signal on with a short grace period", () => {
    expect(mayServeWhileStopping({ leftMs: 1_000 }, 1_500)).to.equal(false);
    expect(mayServeWhileStopping({ leftMs: 400 }, 1_500)).to.equal(false);
    expect(mayServeWhileStopping({ leftMs: 400 }, 400)).to.equal(false);
    expect(mayServeWhileStopping({ leftMs: 400 }, 300)).to.equal(true);
  });
});

describe("planGiveUp", () => {
  const base = { now: 0, dueAt: 600, expiresAt: 7_000, isReturn: false };

  it("drops new requests soon after they can no longer be on time", () => {
    expect(planGiveUp({ ...base, isInvested: false })).to.equal(1_000);
    expect(planGiveUp({ ...base, isInvested: false, dueAt: -900 }))
      .to.equal(400);
    expect(planGiveUp({ ...base, isInvested: false, expiresAt: 200 }))
      .to.equal(200);
    expect(planGiveUp({ ...base, isInvested: false, isReturn: true }))
      .to.equal(1_600);
  });

  it("keeps requests with completed work while the caller waits", () => {
    expect(planGiveUp({ ...base, isInvested: true })).to.equal(7_000);
  });
});
