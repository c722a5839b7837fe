/**
 * The daemon on the platform's side: controllers that reconcile state and feed
 * the entries.
 *
 * @module
 */
export * from "./control.ts";
