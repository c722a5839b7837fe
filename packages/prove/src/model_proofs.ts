/**
 * Proofs without real processes: state exploration of the specification, and
 * simulations of many entries that share cold endpoints.
 *
 * @module
 */
import {
  type TimedFault,
  VM_FAULT_KINDS,
  WORLD_VMS,
  WORLD_ZONES,
  type WorldFault,
} from "@sardinestep/membership/warmup_faults";
import {
  runWarmupWorld,
  WORLD_COLD_CONCURRENCY,
  WORLD_ENDPOINTS,
  WORLD_RUN_MS,
  type WorldMutant,
} from "@sardinestep/membership/warmup_world";
import * as spec from "@sardinestep/spec";
import fc from "fast-check";

/** Result of one model proof. */
export interface ModelResult {
  readonly point: number;
  readonly name: string;
  /** Number of states explored or simulations run. */
  readonly cases: number;
  readonly unit: "states" | "simulations";
  readonly violations: readonly string[];
  readonly notTried: readonly string[];
}

const COLD_ENDPOINT_GUARANTEE = 5;
const SEED = 20_261_202;
const SIMULATION_COUNT = 60;
/** Violations are rare even without a mechanism, so a mutant gets more runs. */
const MUTANT_SIMULATION_COUNT = 400;
const MAX_FAULTS = 8;
const WORLD_MUTANTS: readonly WorldMutant[] = [
  "without_quarantine",
  "without_majority",
  "without_relay",
];

/** Mechanisms that the model proofs can disable. */
export const MODEL_MECHANISMS: readonly string[] = [
  ...spec.GUARD_NAMES,
  ...WORLD_MUTANTS,
];

/**
 * Runs the model proofs.
 *
 * @param without Mechanism of {@link MODEL_MECHANISMS} to disable; only the proofs
 *   that depend on it are run.
 * @returns One result per proof.
 */
export function runModelProofs(without?: string): ModelResult[] {
  const mutant = WORLD_MUTANTS.find((name) => name === without);
  if (mutant) return [runSimulations(mutant)];
  const mechanism = spec.GUARD_NAMES.find((name) => name === without);
  const rows = spec.runSpec(mechanism ? { without: mechanism } : {});
  const results = rows.map(({ states, ...row }) => ({
    ...row,
    cases: states,
    unit: "states" as const,
  }));
  return mechanism ? results : [...results, runSimulations()];
}

function runSimulations(mutant?: WorldMutant): ModelResult {
  const numRuns = mutant ? MUTANT_SIMULATION_COUNT : SIMULATION_COUNT;
  const schedules = fc.sample(buildFaultSchedules(), { seed: SEED, numRuns });
  const violations = schedules.flatMap((faults) => {
    const { maxRunning } = runWarmupWorld(faults, mutant);
    if (maxRunning <= WORLD_COLD_CONCURRENCY) return [];
    return [`${maxRunning} calls at once: ${JSON.stringify(faults)}`];
  });
  return {
    point: COLD_ENDPOINT_GUARANTEE,
    name: `${WORLD_VMS} VMs under random faults`,
    cases: numRuns,
    unit: "simulations",
    violations,
    notTried: [
      "a warm endpoint that restarts unannounced (scenarios below)",
      "an entry behind a neighbour's control",
    ],
  };
}

function buildFaultSchedules(): fc.Arbitrary<TimedFault[]> {
  const vm = fc.nat({ max: WORLD_VMS - 1 });
  const fault: fc.Arbitrary<WorldFault> = fc.oneof(
    fc.record({ kind: fc.constantFrom(...VM_FAULT_KINDS), vm }),
    fc.record({ kind: fc.constant("path_cut" as const), vm, other: vm }),
    fc.record({
      kind: fc.constant("zone_gone" as const),
      zone: fc.nat({ max: WORLD_ZONES - 1 }),
    }),
    fc.record({
      kind: fc.constant("endpoint_restarted" as const),
      endpoint: fc.nat({ max: WORLD_ENDPOINTS.length - 1 }),
    }),
  );
  const timed = fc.record({
    fault,
    atMs: fc.integer({ min: 0, max: WORLD_RUN_MS }),
    forMs: fc.integer({ min: 500, max: 25_000 }),
  });
  return fc.array(timed, { maxLength: MAX_FAULTS });
}
