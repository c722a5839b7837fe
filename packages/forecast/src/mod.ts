/**
 * Pure decisions at arrival: on time, deferred or refused, with margins learned
 * from earlier forecasts.
 *
 * @module
 */
export * from "./ahead_work.ts";
export * from "./chain_admission.ts";
export * from "./decayed_histogram.ts";
export * from "./forecast_errors.ts";
export * from "./return_plan.ts";
