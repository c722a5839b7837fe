/**
 * HTTP exchanges for adapters: pooled connections by undici, and every failure
 * mapped to what the other side may have done.
 *
 * @module
 */
export * from "./connections.ts";
export * from "./exchange.ts";
export * from "./answer.ts";
