/**
 * HTTP adapter for model engines, pools and plain services. `docs/PROTOCOLS.md`
 * describes the formats.
 *
 * @module
 */
export * from "./endpoints.ts";
export type { EndpointCounters } from "./counters.ts";
