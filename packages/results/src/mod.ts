/**
 * Stage results and answers, stored in memory at two entries in different
 * failure domains.
 *
 * @module
 */
export * from "./holders.ts";
export * from "./result_store.ts";
