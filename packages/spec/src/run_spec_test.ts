import { expect } from "chai";
import { readClaims } from "./claim_log.ts";
import { readClaimsByMirror } from "./claim_log_mirror.ts";
import { buildClaimModel } from "./claim_model.ts";
import { readConfiguration } from "./configuration_log.ts";
import { readConfigurationByMirror } from "./configuration_mirror.ts";
import { buildConfigurationModel } from "./configuration_model.ts";
import { exploreModel, type Model } from "./explore.ts";
import { MECHANISM_NAMES, runSpec } from "./run_spec.ts";

describe("runSpec", () => {
  // A caller sees a ticket issued twice, or an operator sees a change undone.
  // Late, doubled and lost appends, crashes, pauses, trimming and restarts come
  // in any order; no reachable state may break a promise.
  for (const row of runSpec()) {
    it(`holds point ${row.point}: ${row.name} (${row.states} states)`, () => {
      expect(row.violations).to.deep.equal([]);
      expect(row.states).to.be.greaterThan(1_000);
    });
  }

  // Each guard prevents a failure that callers or operators would see. A build
  // without it must reach that failure, or the exploration proves nothing.
  for (const without of MECHANISM_NAMES) {
    it(`catches the mutant without ${without}`, () => {
      const [row] = runSpec({ without });
      expect(row.violations).to.have.length(1);
    });
  }
});

describe("mirrors of the folds", () => {
  it("agree with the claim table in every state explored", () => {
    const model = buildClaimModel({
      attempts: 2,
      maxLog: 4,
      copies: 0,
      hasOutcomes: true,
      hasTime: true,
    });
    const states = exploreChecked(model, ({ first, log }) => {
      expect(readClaimsByMirror({ first, log }))
        .to.deep.equal(readClaims({ first, log }));
    });
    expect(states).to.be.greaterThan(1_000);
  });

  it("agree with the configuration fold in every state explored", () => {
    const model = buildConfigurationModel({ maxLog: 3, copies: 0 });
    const states = exploreChecked(model, ({ log, readers }) => {
      for (const { events } of readers) {
        expect(readConfigurationByMirror({ log, events }))
          .to.deep.equal(readConfiguration({ log, events }));
      }
    });
    expect(states).to.be.greaterThan(1_000);
  });
});

function exploreChecked<State, Move>(
  model: Model<State, Move>,
  check: (state: State) => void,
): number {
  const findViolations = (state: State) => {
    check(state);
    return [];
  };
  return exploreModel({ ...model, findViolations }).states;
}
