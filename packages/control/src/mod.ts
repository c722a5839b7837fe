/**
 * The control daemon: controllers that reconcile the state of the platform and
 * push it to the entries.
 *
 * @module
 */
export * from "./control.ts";
