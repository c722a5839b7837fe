/**
 * Reports of load, outcomes and bottlenecks of a site, from the log lines of its
 * VMs.
 *
 * @module
 */
export * from "./build_report.ts";
export * from "./log_lines.ts";
export * from "./report_page.ts";
export * from "./report_text.ts";
export * from "./request_report.ts";
export * from "./site_report.ts";
