/**
 * Scenarios with real processes, and their results.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";

/** Guarantees by number, as in the section "What must always hold" of the brief. */
export const GUARANTEES: Readonly<Record<number, string>> = {
  1: "at most once",
  2: "truthful refusal",
  3: "no stage result lost, doubled or crossed",
  4: "whole answers",
  5: "cold endpoints",
  6: "failure domain out",
  7: "endpoint leaving",
  8: "planned stop",
  9: "configuration",
};

/** Checks that span all nine guarantees. */
export const CROSS_CUTTING_CHECKS: Readonly<Record<number, string>> = {
  11: "two faults together",
  12: "callers that go silent or read slowly",
  13: "silent connections between processes",
};

/** Part of a scenario's result that is printed on its own line. */
export interface ScenarioRow {
  readonly name: string;
  readonly cases: number;
  readonly violations: number;
  /** Human-readable summary of the outcomes that callers received. */
  readonly summary: string;
}

/** Result of a scenario. */
export interface ScenarioResult {
  /** Number of requests, publishes or stops. */
  readonly cases: number;
  readonly violations: readonly testbed.Violation[];
  /** Human-readable summary of the observations. */
  readonly summary: string;
  /** Results per part, if the scenario has several. */
  readonly rows?: readonly ScenarioRow[];
}

/** A failure scenario that runs with real processes. */
export interface Scenario {
  readonly point: number;
  readonly name: string;
  /** The failure to guard against: symptom for users, sequence and cause. */
  readonly description: string;
  readonly run: (launcher: testbed.ProcessLauncher) => Promise<ScenarioResult>;
}

/**
 * Runs a scenario with its own processes and stops them afterwards.
 *
 * @param scenario Scenario to run.
 * @param binaries Folder of the bundled programs.
 * @returns Its result; an exception counts as a violation.
 */
export async function runScenario(
  scenario: Scenario,
  binaries: string,
): Promise<ScenarioResult> {
  const launcher = new testbed.ProcessLauncher(binaries);
  try {
    return await scenario.run(launcher);
  } catch (error) {
    const detail = error instanceof Error ? error.stack ?? "" : String(error);
    const violations = [{ guarantee: "the scenario completes", detail }];
    return { cases: 0, violations, summary: "failed with an exception" };
  } finally {
    await launcher.stopAll();
  }
}
