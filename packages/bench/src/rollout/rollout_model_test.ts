import * as rollout from "@sardinestep/rollout";
import { expect } from "chai";
import fc from "fast-check";
import { buildScenario } from "./rollout_table.ts";
import {
  BAD_ANSWER_LIMIT,
  BAD_VERSION,
  type RolloutOutcome,
  type RolloutScenario,
  runRollout,
  SIDE_FAULT,
} from "./rollout_model.ts";

const SMALL = { vms: 8, requestsPerSecond: 27, endpoints: 13 };
const MIDDLE = { vms: 20, requestsPerSecond: 86, endpoints: 42 };
const EXPOSURE = { share: 0.1, slack: 50 };

function run(overrides: Partial<RolloutScenario>): RolloutOutcome {
  return runRollout(buildScenario({ ...MIDDLE, ...overrides }));
}

function getFinalStates({ reports }: RolloutOutcome): rollout.RolloutState[] {
  return reports.map((report) => report.state)
    .filter((state) => state !== rollout.ROLLOUT_STATE.running);
}

describe("a roll-out over many VMs", () => {
  for (const badVersion of Object.values(BAD_VERSION)) {
    it(`stops a bad version early (${badVersion})`, () => {
      const outcome = run({ badVersion, seed: 3 });
      expect(getFinalStates(outcome)).to.deep.equal(["rolledBack"]);
      expect(outcome.badAnswers).to.be.lessThan(BAD_ANSWER_LIMIT);
    });
  }

  // Spread over the canaries, their requests never load one of them, and the version
  // passes as good.
  it("stops a version that fails only at more load than the canaries' share", () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const outcome = run({
        badVersion: BAD_VERSION.underLoad,
        loadedRequests: 4,
        endpoints: 60,
        seed,
      });
      expect(getFinalStates(outcome)).to.deep.equal(["rolledBack"]);
      const allowed = EXPOSURE.share * outcome.requests + EXPOSURE.slack;
      expect(outcome.exposed).to.be.at.most(allowed);
    }
  });

  const TOLERABLE_FAULTS = Object.values(SIDE_FAULT)
    .filter((fault) => fault !== SIDE_FAULT.answersLost);

  // Both versions lose 30% of their answers, which is no evidence against either.
  it("blames no version for answer loss that affects both", () => {
    for (const seed of [1, 2, 3]) {
      const { reports } = run({ sideFault: SIDE_FAULT.answersLost, seed });
      expect(reports.at(-1)?.reason).not.to.include("answers are bad");
    }
  });

  for (const sideFault of TOLERABLE_FAULTS) {
    it(`completes the roll-out of a good version despite a fault (${sideFault})`, () => {
      const outcome = run({ sideFault, seed: 2 });
      expect(getFinalStates(outcome)).to.deep.equal(["succeeded"]);
      expect(outcome.settledAtMs).to.be.lessThan(15_000);
      expect(outcome.interruptedRequests).to.be.at.most(2);
    });
  }

  const anyScenario = fc.record({
    seed: fc.nat(10_000),
    size: fc.constantFrom(SMALL, MIDDLE),
    badVersion: fc.constantFrom(undefined, ...Object.values(BAD_VERSION)),
    sideFault: fc.constantFrom(...Object.values(SIDE_FAULT)),
    storeOutage: fc.option(
      fc.record({ fromMs: fc.nat(12_000), toMs: fc.nat(16_000) }),
      { nil: undefined },
    ),
    restartAtMs: fc.option(fc.nat(12_000), { nil: undefined }),
  });

  it("reports at most one final state when VMs restart and the store fails", () => {
    fc.assert(
      fc.property(anyScenario, ({ size, ...overrides }) => {
        expect(getFinalStates(run({ ...size, ...overrides })).length).to.be.at
          .most(1);
      }),
      { numRuns: 12, seed: 7 },
    );
  });

  it("keeps a bad version within its exposure limit under any fault", () => {
    fc.assert(
      fc.property(anyScenario, ({ size, ...overrides }) => {
        fc.pre(overrides.badVersion !== undefined);
        const outcome = run({ ...size, ...overrides });
        const allowed = EXPOSURE.share * outcome.requests + EXPOSURE.slack;
        expect(outcome.exposed).to.be.at.most(allowed);
        expect(outcome.lastSentMs).to.be.lessThan(
          outcome.limitReachedAtMs + 2_000,
        );
      }),
      { numRuns: 20, seed: 11 },
    );
  });
});
