/**
 * All scenarios with real processes.
 *
 * @module
 */
import type { Scenario } from "./scenario.ts";
import { AT_MOST_ONCE } from "./scenarios/at_most_once.ts";
import { CALLERS } from "./scenarios/callers.ts";
import { CONFIGURATION_PROOFS } from "./scenarios/configuration.ts";
import { ENDPOINTS } from "./scenarios/endpoints.ts";
import { FAULT_PAIRS } from "./scenarios/fault_pairs.ts";
import { PLANNED_STOP } from "./scenarios/planned_stop.ts";
import { RESULTS } from "./scenarios/results.ts";
import { SILENT_CONNECTIONS } from "./scenarios/silent_connections.ts";
import { TRUTHFUL_REFUSAL } from "./scenarios/truthful_refusal.ts";
import { UNDETECTED_RESTART } from "./scenarios/undetected_restart.ts";

/** Every scenario, grouped by guarantee. */
export const SCENARIOS: readonly Scenario[] = [
  ...AT_MOST_ONCE,
  ...TRUTHFUL_REFUSAL,
  ...RESULTS,
  ...ENDPOINTS,
  ...UNDETECTED_RESTART,
  ...PLANNED_STOP,
  ...CONFIGURATION_PROOFS,
  ...FAULT_PAIRS,
  ...CALLERS,
  ...SILENT_CONNECTIONS,
];
