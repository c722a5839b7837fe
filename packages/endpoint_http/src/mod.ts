/**
 * Adapter of model engines, pools and plain services over HTTP. The formats
 * are those of `docs/PROTOCOLS.md`.
 *
 * @module
 */
export * from "./endpoints.ts";
export type { EndpointCounters } from "./counters.ts";
