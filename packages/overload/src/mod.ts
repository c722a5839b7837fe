/**
 * Pure decisions on a pool under overload: which queued groups are served on time, which are deferred, and how customers share the work.
 *
 * @module
 */
export {};
