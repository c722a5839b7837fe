import { expect } from "chai";
import {
  decideTakeover,
  MAX_REFUSALS,
  type TakeoverState,
  WAIT_REASON,
  type WaitReason,
} from "./takeover.ts";

const STATE: TakeoverState = {
  isRetryable: true,
  attempts: 1,
  maxAttempts: 2,
  isSuspect: false,
  refusals: 0,
  hasEndpoint: true,
  isBudgetLeft: true,
  areInputsKept: true,
  mayRerunStages: true,
};

const OBSTACLES: Readonly<Record<WaitReason, Partial<TakeoverState>>> = {
  [WAIT_REASON.notRetryable]: { isRetryable: false },
  [WAIT_REASON.attemptsUsed]: { attempts: 2 },
  [WAIT_REASON.suspect]: { isSuspect: true },
  [WAIT_REASON.refused]: { refusals: MAX_REFUSALS },
  [WAIT_REASON.noEndpoint]: { hasEndpoint: false },
  [WAIT_REASON.budgetUsed]: { isBudgetLeft: false },
  [WAIT_REASON.inputsReleased]: {
    areInputsKept: false,
    mayRerunStages: false,
  },
};

describe("decideTakeover", () => {
  it("takes over while a retry can be had", () => {
    expect(decideTakeover(STATE)).to.deep.equal({ kind: "takeOver" });
  });

  it("tries one more endpoint after a refusal", () => {
    expect(decideTakeover({ ...STATE, refusals: MAX_REFUSALS - 1 }))
      .to.deep.equal({ kind: "takeOver" });
  });

  it("runs the stages again first when their results are released", () => {
    expect(decideTakeover({ ...STATE, areInputsKept: false }))
      .to.deep.equal({ kind: "rerunStages" });
  });

  it("runs no stages for a takeover that can't be had", () => {
    const state = { ...STATE, areInputsKept: false, isBudgetLeft: false };
    expect(decideTakeover(state))
      .to.deep.equal({ kind: "wait", reason: "budgetUsed" });
  });

  for (const [reason, obstacle] of Object.entries(OBSTACLES)) {
    it(`waits for the silent endpoint: ${reason}`, () => {
      expect(decideTakeover({ ...STATE, ...obstacle }))
        .to.deep.equal({ kind: "wait", reason });
    });
  }
});
