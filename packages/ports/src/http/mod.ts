/**
 * HTTP client for adapters: pooled undici connections, with every failure mapped
 * to whether the remote side may have acted.
 *
 * @module
 */
export * from "./connections.ts";
export * from "./exchange.ts";
export * from "./response.ts";
