/**
 * `npm run bench:decisions`: every scenario against every policy.
 *
 * All numbers are the same in every run, but for the decision times.
 *
 * @module
 */
import { BASELINES, SARDINESTEP } from "./decisions/policies.ts";
import type { Scenario } from "./decisions/scenario.ts";
import { buildScenarios } from "./decisions/scenarios.ts";
import { runScenario } from "./decisions/simulation.ts";
import {
  formatCost,
  formatHead,
  formatPercent,
  formatRow,
} from "./decisions/table.ts";
import { getUpperBound } from "./decisions/upper_bound.ts";

const FILTER = process.argv[2] ?? "";
const IS_QUICK = process.argv[3] === "quick";

function printScenario(scenario: Scenario): void {
  const bound = formatPercent(getUpperBound(scenario));
  console.log(`\n${scenario.name} (upper bound ${bound})`);
  const outcome = runScenario(scenario, SARDINESTEP);
  console.log(formatRow("sardinestep", outcome));
  if (IS_QUICK) return;
  for (const [name, policy] of Object.entries(BASELINES)) {
    console.log(formatRow(name, runScenario(scenario, policy)));
  }
  console.log(`worker seconds of sardinestep: ${formatCost(outcome)}`);
}

console.log(formatHead());
for (const scenario of buildScenarios()) {
  if (scenario.name.includes(FILTER)) printScenario(scenario);
}
