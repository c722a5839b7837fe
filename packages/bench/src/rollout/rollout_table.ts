/**
 * Results of simulated roll-outs of each kind, for each verdict policy.
 *
 * @module
 */
import * as rollout from "@sardinestep/rollout";
import {
  BAD_VERSION,
  type BadVersion,
  type RolloutOutcome,
  type RolloutScenario,
  runRollout,
  SIDE_FAULT,
  type SideFault,
} from "./rollout_model.ts";

/** Number of VMs, request rate, and endpoints of each version. */
export interface RolloutSize {
  readonly vms: number;
  readonly requestsPerSecond: number;
  readonly endpoints: number;
}

/** Simulated sizes. */
export const SIZES: readonly RolloutSize[] = [
  { vms: 8, requestsPerSecond: 27, endpoints: 13 },
  { vms: 83, requestsPerSecond: 86, endpoints: 42 },
  { vms: 300, requestsPerSecond: 3_000, endpoints: 600 },
];

/** Verdict policies that are compared. */
export const POLICIES: Readonly<Record<string, rollout.VerdictPolicy>> = {
  fixedThreshold: {
    kind: "fixedThreshold",
    badAnswers: 10,
    badShare: 0.2,
    enoughAnswers: 12,
  },
  sequential: {
    kind: "sequential",
    settings: rollout.DEFAULT_SETTINGS.verdict,
  },
};

/** A kind of roll-out: defect of the new version and fault of both versions. */
export interface RolloutKind {
  readonly name: string;
  readonly badVersion?: BadVersion;
  readonly sideFault: SideFault;
}

/** Each bad version without other faults, and a good version with each fault. */
export const KINDS: readonly RolloutKind[] = [
  ...Object.values(BAD_VERSION).map((badVersion) => ({
    name: `bad: ${badVersion}`,
    badVersion,
    sideFault: SIDE_FAULT.none,
  })),
  ...Object.values(SIDE_FAULT).map((sideFault) => ({
    name: `good: ${sideFault}`,
    sideFault,
  })),
];

/** Summary of several roll-outs of one kind. */
export interface RolloutRow {
  readonly runs: number;
  /** Runs that ended in the expected state. */
  readonly correct: number;
  /** Means over the runs. */
  readonly exposed: number;
  readonly badAnswers: number;
  readonly settledAtMs: number;
  /** Largest number of requests over the operator's share in any run. */
  readonly maxOverShare: number;
}

/** Simulates one kind with several seeds. */
export function measureKind(options: {
  readonly kind: RolloutKind;
  readonly size: RolloutSize;
  readonly policy: rollout.VerdictPolicy;
  readonly seeds: number;
}): RolloutRow {
  const { kind, size, policy, seeds } = options;
  const outcomes = Array.from(
    { length: seeds },
    (_, i) =>
      runRollout(buildScenario({
        ...size,
        seed: i + 1,
        policy,
        badVersion: kind.badVersion,
        sideFault: kind.sideFault,
      })),
  );
  const expectedState = kind.badVersion === undefined
    ? rollout.ROLLOUT_STATE.succeeded
    : rollout.ROLLOUT_STATE.rolledBack;
  const isCorrect = ({ reports }: RolloutOutcome) =>
    reports.at(-1)?.state === expectedState;
  const getMean = (getValue: (outcome: RolloutOutcome) => number) =>
    outcomes.reduce((sum, outcome) => sum + getValue(outcome), 0) / seeds;
  const { share } = rollout.DEFAULT_SETTINGS.exposure;
  return {
    runs: seeds,
    correct: outcomes.filter(isCorrect).length,
    exposed: getMean((outcome) => outcome.exposed),
    badAnswers: getMean((outcome) => outcome.badAnswers),
    settledAtMs: getMean((outcome) => outcome.settledAtMs),
    maxOverShare: Math.max(
      ...outcomes.map((outcome) => outcome.exposed - share * outcome.requests),
    ),
  };
}

/** Builds a scenario whose order lasts 15 seconds. */
export function buildScenario(
  overrides: Partial<RolloutScenario> & RolloutSize,
): RolloutScenario {
  return {
    seed: 1,
    durationMs: 15_000,
    slots: 64,
    sideFault: SIDE_FAULT.none,
    settings: {
      ...rollout.DEFAULT_SETTINGS,
      exposure: { share: 0.1, slack: 50 },
    },
    ...overrides,
  };
}
