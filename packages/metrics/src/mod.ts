/**
 * Counters, gauges and HDR histograms in the Prometheus text format, deadline
 * attainment, and cost by stage.
 *
 * @module
 */
export * from "./labels.ts";
export * from "./metrics.ts";
export * from "./attainment.ts";
export * from "./stage_cost.ts";
