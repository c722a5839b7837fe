/**
 * Limits that must be equal in all processes, because the proof in `warmer.ts`
 * depends on them.
 *
 * @module
 */

/**
 * How long an answered call keeps a view fresh: two gossip intervals plus the
 * longest pause of a busy event loop.
 */
export const VIEW_FRESH_MS = 800;

/** Time after which a VM that no VM has contact with counts as silent. */
export const SILENT_AFTER_MS = 4 * VIEW_FRESH_MS;
