/**
 * Two simultaneous faults: every pair of the eight faults, under mixed load of
 * callers that retry, with an audit after each pair.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { setTimeout as sleep } from "node:timers/promises";
import { countOutcomes } from "../result_checks.ts";
import type { Scenario, ScenarioResult, ScenarioRow } from "../scenario.ts";
import { buildSmallPlan, mintKeys } from "../small_plan.ts";
import { VersionMonitor } from "../version_monitor.ts";
import { FAULT_NAMES, type FaultName, FAULTS } from "./_faults.ts";
import { startMixedLoad } from "./_mixed_load.ts";
import { Operators } from "./_operators.ts";

/** Number of deployments that run pairs in parallel. */
const PAIR_GROUPS = 4;
/** Time under load before a fault, so that it hits running requests. */
const LOAD_LEAD_MS = 300;
const BETWEEN_FAULTS_MS = 200;
const FAULT_HOLD_MS = 1_500;
/** The brief's "a few seconds", counted from taking a failure domain out. */
const TAKE_EFFECT_BOUND_MS = 3_000;
const OBSERVATION_MS = 700;
const LOAD_TAIL_MS = 500;
const MINTED_KEYS_PER_ENTRY = 40;
/** Time after its start during which a worker has reduced capacity. */
const COLD_MS = 1_200;
/** Time within which every worker must be warm, before the first pair. */
const WARM_UP_TIMEOUT_MS = 20_000;

type Pair = readonly [FaultName, FaultName];

const PAIRS: readonly Pair[] = FAULT_NAMES.flatMap((first, index) =>
  FAULT_NAMES.slice(index + 1).map((second) => [first, second] as const)
);

/** Proofs with two simultaneous faults. */
export const FAULT_PAIRS: readonly Scenario[] = Array.from(
  { length: PAIR_GROUPS },
  (_, group) => ({
    point: 11,
    name: `fault pairs, group ${group + 1} of ${PAIR_GROUPS}`,
    description:
      "Two faults occur at the same time, as on a peak day. A ticket is issued " +
      "twice, or a refusal falsely says 'not run', because each protection was " +
      "designed for one fault and relied on what the other fault disabled.",
    run: (launcher) =>
      runPairGroup(
        launcher,
        PAIRS.filter((_pair, index) => index % PAIR_GROUPS === group),
      ),
  }),
);

async function runPairGroup(
  launcher: testbed.ProcessLauncher,
  pairs: readonly Pair[],
): Promise<ScenarioResult> {
  const plan = buildSmallPlan({ workers: { coldMs: COLD_MS } });
  const deployment = await testbed.Deployment.start(launcher, plan);
  const runner = new PairRunner(deployment);
  await runner.warmUp();
  const rows: ScenarioRow[] = [];
  for (const pair of pairs) rows.push(await runner.runPair(pair));
  const cases = rows.reduce((sum, row) => sum + row.cases, 0);
  const summary = `${rows.length} pairs`;
  return { cases, violations: runner.violations, summary, rows };
}

/** Runs fault pairs one after the other on one deployment. */
class PairRunner {
  readonly #deployment: testbed.Deployment;
  readonly #operators: Operators;
  /** The fakes' counters accumulate over pairs; each violation counts once. */
  readonly #reportedViolations = new Set<string>();
  readonly violations: testbed.Violation[] = [];

  constructor(deployment: testbed.Deployment) {
    this.#deployment = deployment;
    this.#operators = new Operators(deployment);
  }

  /** Sends load until all workers are warm. */
  async warmUp(): Promise<void> {
    const load = startMixedLoad(this.#deployment, []);
    await testbed.waitFor(async () => {
      const workers = await this.#deployment.readWorkerCounters();
      return workers.every((worker) => worker.state === "warm");
    }, { description: "warm workers", timeoutMs: WARM_UP_TIMEOUT_MS });
    await this.#audit(await load.stop());
  }

  /** Injects two faults at once and audits the results of callers. */
  async runPair(pair: Pair): Promise<ScenarioRow> {
    const violationsBefore = this.violations.length;
    const minted = await this.#mintKeys();
    const monitor = new VersionMonitor(this.#deployment);
    const load = startMixedLoad(this.#deployment, minted);
    await sleep(LOAD_LEAD_MS);
    await this.#runFaults(pair);
    await sleep(LOAD_TAIL_MS);
    const results = await load.stop();
    await this.#deployment.waitUntilReady();
    this.#addViolations(await this.#operators.expectOneVersion());
    this.#addViolations(monitor.close());
    await this.#audit(results);
    return {
      name: pair.join(" + "),
      cases: results.length,
      violations: this.violations.length - violationsBefore,
      summary: countOutcomes(results),
    };
  }

  async #runFaults(pair: Pair): Promise<void> {
    const context = {
      deployment: this.#deployment,
      operators: this.#operators,
    };
    // The configuration change must be accepted before the log goes down.
    const [first, second] = pair[1] === "zone out" ? [pair[1], pair[0]] : pair;
    const endFirst = await FAULTS[first](context, 0);
    await sleep(BETWEEN_FAULTS_MS);
    const endSecond = await FAULTS[second](context, 1);
    await sleep(FAULT_HOLD_MS);
    // Keeps the failure domain out until the check that it gets no new calls.
    if (first !== "zone out") {
      await endFirst();
      return await endSecond();
    }
    await endSecond();
    this.#addViolations(await this.#checkZoneOut());
    await endFirst();
  }

  async #checkZoneOut(): Promise<testbed.Violation[]> {
    await sleep(TAKE_EFFECT_BOUND_MS - BETWEEN_FAULTS_MS - FAULT_HOLD_MS);
    const before = await this.#operators.countCallsInZoneOut();
    await sleep(OBSERVATION_MS);
    const after = await this.#operators.countCallsInZoneOut();
    if (before === after) return [];
    const detail = `${
      after - before
    } new calls after ${TAKE_EFFECT_BOUND_MS} ms`;
    return [{ guarantee: "no new calls to a domain out of service", detail }];
  }

  async #mintKeys(): Promise<string[]> {
    const batches = this.#deployment.vms.map((vm) =>
      mintKeys(vm.url, MINTED_KEYS_PER_ENTRY)
    );
    const keys = await Promise.all(batches);
    // Interleaved, so that keys minted by the affected entry are spread evenly.
    return Array.from(
      { length: MINTED_KEYS_PER_ENTRY },
      (_, index) => keys.map((batch) => batch[index] ?? ""),
    ).flat();
  }

  async #audit(results: readonly testbed.CallerResult[]): Promise<void> {
    this.#addViolations(await this.#deployment.audit(results));
  }

  #addViolations(violations: readonly testbed.Violation[]): void {
    for (const violation of violations) {
      const text = `${violation.guarantee}: ${violation.detail}`;
      if (this.#reportedViolations.has(text)) continue;
      this.#reportedViolations.add(text);
      this.violations.push(violation);
    }
  }
}
