/**
 * `npm run bench:serving`: two ways to compose a pool's calls, in pairs over drawn
 * scenarios, with an interval of the mean difference. `--json` for programs.
 *
 * @module
 */
import * as serving from "@sardinestep/serving";
import {
  composePieces,
  type PoolOutcome,
  runPool,
} from "./serving/pool_model.ts";
import type { PoolScenario } from "./serving/pool_model.ts";
import {
  buildLaterScenario,
  buildPoolScenario,
} from "./serving/pool_scenarios.ts";

const SEEDS = 50;
/** Half width of an interval of 95% in standard errors. */
const Z_95 = 1.96;

const NAMES = ["inTime", "late", "refused", "failed"] as const;

interface Comparison {
  readonly name: string;
  readonly whole: number;
  readonly pieces: number;
  readonly difference: number;
  readonly halfWidth: number;
}

interface Pair {
  readonly whole: PoolOutcome;
  readonly pieces: PoolOutcome;
}

const results = [
  { name: "first stage", rows: compareAll(buildPoolScenario) },
  { name: "later stage", rows: compareAll(buildLaterScenario) },
];

if (process.argv.includes("--json")) {
  console.log(JSON.stringify({ seeds: SEEDS, results }, null, 2));
} else {
  console.log(`${SEEDS} drawn scenarios each, shares of what was asked`);
  for (const { name, rows } of results) {
    console.log(name);
    for (const row of rows) console.log(formatRow(row));
  }
}

function compareAll(build: (seed: number) => PoolScenario): Comparison[] {
  const pairs = Array.from({ length: SEEDS }, (_, i) => {
    const scenario = build(i + 1);
    return {
      whole: runPool(scenario, serving.planCall),
      pieces: runPool(scenario, composePieces),
    };
  });
  return [
    ...NAMES.map((name) =>
      compare(pairs, name, (one) => one[name] / one.asked)
    ),
    compare(pairs, "small in time", (one) => one.smallInTime),
  ];
}

function compare(
  pairs: readonly Pair[],
  name: string,
  getValue: (outcome: PoolOutcome) => number,
): Comparison {
  const whole = pairs.map((pair) => getValue(pair.whole));
  const pieces = pairs.map((pair) => getValue(pair.pieces));
  const differences = whole.map((value, i) => value - pieces[i]!);
  const difference = getMean(differences);
  const variance = getMean(
    differences.map((one) => (one - difference) ** 2),
  );
  return {
    name,
    whole: getMean(whole),
    pieces: getMean(pieces),
    difference,
    halfWidth: Z_95 * Math.sqrt(variance / (differences.length - 1)),
  };
}

function formatRow(row: Comparison): string {
  const { name, whole, pieces, difference, halfWidth } = row;
  return `${name.padEnd(14)} whole groups ${whole.toFixed(3)}, ` +
    `what fits ${pieces.toFixed(3)}, ` +
    `difference ${difference.toFixed(3)} +- ${halfWidth.toFixed(3)}`;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}
