/**
 * One memory budget per process for bytes held for callers and endpoints.
 *
 * @module
 */
export {};
