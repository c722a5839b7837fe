/**
 * Runs scenarios and prints what they found.
 *
 * @module
 */
import { buildMutant, readMutants } from "./mutants.ts";
import {
  CROSS_POINTS,
  POINTS,
  runScenario,
  type Scenario,
  type ScenarioResult,
  type ScenarioRow,
} from "./scenario.ts";
import { SCENARIOS } from "./scenario_list.ts";

/** Scenarios at once; each has about ten processes. */
const PARALLEL = 3;
const ALL_POINTS: Readonly<Record<number, string>> = {
  ...POINTS,
  ...CROSS_POINTS,
};
/** Violations printed for each scenario. */
const SHOWN_VIOLATIONS = 4;

/** What to run. */
export interface ProofOptions {
  /** A mechanism that is taken out. */
  readonly without?: string;
  /** Part of the names of the scenarios to run. */
  readonly only?: string;
}

/**
 * Runs proofs and prints them.
 *
 * @param options What to run.
 * @returns The exit code: 1 when any promise was broken.
 */
export async function runProofs(options: ProofOptions): Promise<number> {
  const plan = options.without === undefined
    ? { binaries: "dist", scenarios: SCENARIOS }
    : planMutant(options.without);
  const { binaries } = plan;
  const scenarios = plan.scenarios.filter((scenario) =>
    scenario.name.includes(options.only ?? "")
  );
  const results = await runAll(scenarios, binaries);
  for (const point of Object.keys(ALL_POINTS)) {
    printPoint(Number(point), results);
  }
  const broken = [...results.values()].flatMap((result) => result.violations);
  console.log(`${results.size} scenarios, ${broken.length} violations`);
  return broken.length === 0 ? 0 : 1;
}

interface ProofPlan {
  readonly binaries: string;
  readonly scenarios: readonly Scenario[];
}

function planMutant(mechanism: string): ProofPlan {
  const mutant = readMutants().find((one) => one.mechanism === mechanism);
  if (!mutant) {
    const names = readMutants().map((one) => one.mechanism).join(", ");
    throw new Error(`Cannot find mechanism "${mechanism}"; there are ${names}`);
  }
  console.log(`without "${mechanism}": ${mutant.what}`);
  const binaries = buildMutant(mechanism);
  const scenarios = SCENARIOS.filter(({ name }) =>
    name.includes(mutant.scenario)
  );
  return { binaries, scenarios };
}

async function runAll(
  scenarios: readonly Scenario[],
  binaries: string,
): Promise<Map<Scenario, ScenarioResult>> {
  const results = new Map<Scenario, ScenarioResult>();
  const waiting = [...scenarios];
  const work = async () => {
    for (let next = waiting.shift(); next; next = waiting.shift()) {
      results.set(next, await runScenario(next, binaries));
    }
  };
  await Promise.all(Array.from({ length: PARALLEL }, work));
  return results;
}

function printPoint(
  point: number,
  results: ReadonlyMap<Scenario, ScenarioResult>,
): void {
  for (const [scenario, result] of results) {
    if (scenario.point !== point) continue;
    const { cases, violations, seen } = result;
    const verdict = violations.length === 0 ? "held" : "BROKEN";
    const head = `${point}. ${ALL_POINTS[point]}: ${scenario.name}`;
    console.log(
      `${head}: ${cases} cases, ${violations.length} violations, ${verdict} (${seen})`,
    );
    for (const row of result.rows ?? []) printRow(row);
    for (const { promise, detail } of violations.slice(0, SHOWN_VIOLATIONS)) {
      console.log(`     ${promise}: ${detail}`);
    }
  }
}

function printRow({ name, cases, violations, seen }: ScenarioRow): void {
  console.log(
    `     ${name}: ${cases} cases, ${violations} violations (${seen})`,
  );
}
