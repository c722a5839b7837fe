/**
 * Limits that all processes must share, since the argument in `warmup_guard.ts`
 * rests on them.
 *
 * @module
 */

/**
 * How long an answered call proves that a view is fresh, in milliseconds: two
 * gossip intervals and the longest pause of a busy loop.
 */
export const VIEW_FRESH_MS = 800;

/** A VM that nobody heard from for so long counts as silent, in milliseconds. */
export const SILENT_AFTER_MS = 4 * VIEW_FRESH_MS;
