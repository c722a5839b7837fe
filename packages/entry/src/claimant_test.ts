import type * as claims from "@sardinestep/claims";
import { expect } from "chai";
import { Claimant } from "./claimant.ts";
import { CUSTOMER, DEADLINE_AT, HOLDER, NOW } from "./_test_fixtures.ts";

const KEY_ID = { customer: CUSTOMER, key: "k" };

function openClaimant() {
  const records: claims.ClaimRecord[] = [];
  const states: string[] = [];
  const claimant = new Claimant({
    facts: {
      id: HOLDER,
      keyId: KEY_ID,
      fingerprint: "f",
      deadlineAt: DEADLINE_AT,
    },
    recordLater: (record) => records.push(record),
    onState: (state) => states.push(state.kind),
  });
  return { claimant, records, states };
}

function openWinner() {
  const opened = openClaimant();
  opened.claimant.applyVerdict({ kind: "won" });
  return opened;
}

const LOST = { kind: "lost", status: { kind: "free" } } as const;
const UNSETTLED = { kind: "unsettled", retryAfterMs: 1 } as const;

describe("Claimant", () => {
  it("dispatches once, and records the outcome", () => {
    const { claimant, records } = openWinner();
    const dispatches = [claimant.mayDispatch(NOW), claimant.mayDispatch(NOW)];
    claimant.finish("ticket");
    expect(dispatches).to.deep.equal([true, false]);
    expect(records).to.deep.equal([{
      kind: "outcome",
      id: HOLDER,
      keyId: KEY_ID,
      outcome: "completed",
      answer: "ticket",
    }]);
  });

  for (const verdict of [LOST, UNSETTLED, { kind: "expired" } as const]) {
    it(`sends nothing after "${verdict.kind}" and releases its claim`, () => {
      const { claimant, records } = openClaimant();
      claimant.applyVerdict(verdict);
      expect(claimant.mayDispatch(NOW)).to.equal(false);
      expect(claimant.mayHaveRun).to.equal(false);
      expect(records).to.deep.equal([
        { kind: "release", id: HOLDER, keyId: KEY_ID },
      ]);
    });
  }

  // Two tickets for one load. The log's answer came after the caller had been
  // told "not run" and had come back under a new claim; the old attempt then
  // heard that it had won.
  it("sends nothing when it wins after it was given up", () => {
    const { claimant } = openClaimant();
    claimant.giveUp("deadline");
    claimant.applyVerdict({ kind: "won" });
    expect(claimant.mayDispatch(NOW)).to.equal(false);
  });

  // An entry was frozen after it had won; it wakes up when its caller has long
  // gone elsewhere.
  it("sends nothing at or after the deadline", () => {
    const { claimant, states } = openWinner();
    expect(claimant.mayDispatch(DEADLINE_AT)).to.equal(false);
    expect(states).to.deep.equal(["won", "abandoned"]);
  });

  const failures = [
    { reason: "not_sent", mayRetry: true, records: [] },
    { reason: "refused", mayRetry: true, records: [] },
    { reason: "broken", mayRetry: false, records: ["outcome"] },
    { reason: "timeout", mayRetry: false, records: ["outcome"] },
    { reason: "bad_answer", mayRetry: false, records: ["outcome"] },
  ] as const;

  for (const { reason, mayRetry, records: expected } of failures) {
    const then = mayRetry ? "may try again" : "sends nothing more";
    it(`${then} after a dispatch that ended "${reason}"`, () => {
      const { claimant, records } = openWinner();
      claimant.mayDispatch(NOW);
      claimant.fail(reason);
      expect(claimant.mayHaveRun).to.equal(!mayRetry);
      expect(claimant.mayDispatch(NOW)).to.equal(mayRetry);
      expect(records.map(({ kind }) => kind)).to.deep.equal(expected);
    });
  }

  it("records unknown at the deadline and completed when it comes", () => {
    const { claimant, records } = openWinner();
    claimant.mayDispatch(NOW);
    claimant.giveUp("deadline");
    claimant.finish("ticket");
    const outcomes = records.map((record) =>
      record.kind === "outcome" ? record.outcome : record.kind
    );
    expect(outcomes).to.deep.equal(["unknown", "completed"]);
  });
});
