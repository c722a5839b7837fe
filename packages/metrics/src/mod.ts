/**
 * Counters and hdr histograms with a Prometheus text form, attainment and cost by stage.
 *
 * @module
 */
export * from "./labels.ts";
export * from "./metrics.ts";
export * from "./attainment.ts";
export * from "./stage_cost.ts";
