/**
 * Runs model proofs and scenarios, and prints their results.
 *
 * @module
 */
import * as spec from "@sardinestep/spec";
import {
  MODEL_MECHANISMS,
  type ModelResult,
  runModelProofs,
} from "./model_proofs.ts";
import { buildMutant, readMutants } from "./mutants.ts";
import {
  CROSS_CUTTING_CHECKS,
  GUARANTEES,
  runScenario,
  type Scenario,
  type ScenarioResult,
  type ScenarioRow,
} from "./scenario.ts";
import { SCENARIOS } from "./scenario_list.ts";

/** Scenarios run concurrently; each starts about ten processes. */
const MAX_PARALLEL_SCENARIOS = 3;
const ALL_CHECKS: Readonly<Record<number, string>> = {
  ...GUARANTEES,
  ...CROSS_CUTTING_CHECKS,
};
/** Violations printed per proof; any others are only counted. */
const MAX_PRINTED_VIOLATIONS = 4;

/** Selection of the proofs to run. */
export interface ProofOptions {
  /** Mechanism to disable. */
  readonly without?: string;
  /** Substring of the names of the proofs to run. */
  readonly only?: string;
}

/**
 * Runs the selected proofs and prints their results.
 *
 * @param options Selection of the proofs.
 * @returns The exit code: 1 if any violation was found, else 0.
 */
export async function runProofs(options: ProofOptions): Promise<number> {
  const { without, only = "" } = options;
  const isModelMechanism = without !== undefined &&
    MODEL_MECHANISMS.includes(without);
  const models = without === undefined || isModelMechanism
    ? runModelProofs(without)
    : [];
  const selectedModels = models.filter(({ name }) => name.includes(only));
  const plan = planScenarios(options, isModelMechanism);
  const results = await runScenarios(plan.scenarios, plan.binaries);
  for (const point of Object.keys(ALL_CHECKS).map(Number)) {
    printModels(point, selectedModels);
    printScenarios(point, results);
  }
  printModels(spec.UNNUMBERED_POINT, selectedModels);
  const violationCount = [...selectedModels, ...results.values()].reduce(
    (sum, { violations }) => sum + violations.length,
    0,
  );
  const counts = `${selectedModels.length} models, ${results.size} scenarios`;
  console.log(`${counts}, ${violationCount} violations`);
  return violationCount === 0 ? 0 : 1;
}

function planScenarios(
  options: ProofOptions,
  isModelMechanism: boolean,
): ProofPlan {
  if (isModelMechanism) return { binaries: "dist", scenarios: [] };
  if (options.without !== undefined) return planMutant(options.without);
  const scenarios = SCENARIOS.filter(({ name }) =>
    name.includes(options.only ?? "")
  );
  return { binaries: "dist", scenarios };
}

interface ProofPlan {
  readonly binaries: string;
  readonly scenarios: readonly Scenario[];
}

function planMutant(mechanism: string): ProofPlan {
  const mutant = readMutants().find((candidate) =>
    candidate.mechanism === mechanism
  );
  if (!mutant) {
    const daemonMechanisms = readMutants().map((known) => known.mechanism);
    const names = [...daemonMechanisms, ...MODEL_MECHANISMS].join(", ");
    throw new Error(
      `Cannot find mechanism "${mechanism}", expected one of ${names}`,
    );
  }
  console.log(`without "${mechanism}": ${mutant.what}`);
  const binaries = buildMutant(mechanism);
  const scenarios = SCENARIOS.filter(({ name }) =>
    name.includes(mutant.scenario)
  );
  return { binaries, scenarios };
}

async function runScenarios(
  scenarios: readonly Scenario[],
  binaries: string,
): Promise<Map<Scenario, ScenarioResult>> {
  const results = new Map<Scenario, ScenarioResult>();
  const pending = [...scenarios];
  const runPending = async () => {
    for (let next = pending.shift(); next; next = pending.shift()) {
      results.set(next, await runScenario(next, binaries));
    }
  };
  await Promise.all(Array.from({ length: MAX_PARALLEL_SCENARIOS }, runPending));
  return results;
}

function printModels(point: number, models: readonly ModelResult[]): void {
  const title = GUARANTEES[point] ?? "other guarantees";
  for (const model of models.filter((result) => result.point === point)) {
    const { name, cases, unit, violations, notTried } = model;
    const verdict = formatVerdict(violations.length);
    const uncovered = notTried.length > 0
      ? `; not tried: ${notTried.join(", ")}`
      : "";
    console.log(
      `${point}. ${title}: ${name}: ${cases} ${unit}, ${verdict}${uncovered}`,
    );
    for (const violation of violations.slice(0, MAX_PRINTED_VIOLATIONS)) {
      console.log(`     ${violation}`);
    }
  }
}

function printScenarios(
  point: number,
  results: ReadonlyMap<Scenario, ScenarioResult>,
): void {
  for (const [{ point: scenarioPoint, name }, result] of results) {
    if (scenarioPoint !== point) continue;
    const { cases, violations, summary } = result;
    const verdict = formatVerdict(violations.length);
    const head = `${point}. ${ALL_CHECKS[point]}: ${name}`;
    console.log(`${head}: ${cases} cases, ${verdict} (${summary})`);
    for (const row of result.rows ?? []) printRow(row);
    for (
      const { guarantee, detail } of violations.slice(0, MAX_PRINTED_VIOLATIONS)
    ) {
      console.log(`     ${guarantee}: ${detail}`);
    }
  }
}

function formatVerdict(violations: number): string {
  return `${violations} violations, ${violations === 0 ? "held" : "BROKEN"}`;
}

function printRow({ name, cases, violations, summary }: ScenarioRow): void {
  console.log(
    `     ${name}: ${cases} cases, ${violations} violations (${summary})`,
  );
}
