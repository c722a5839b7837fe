/**
 * Proofs of what must always hold, with real processes and with mechanisms taken out.
 *
 * @module
 */

export {};
