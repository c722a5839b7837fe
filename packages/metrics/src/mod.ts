/**
 * Counters and hdr histograms with a Prometheus text form, attainment and cost by stage.
 *
 * @module
 */

export {};
