/**
 * Specification of the core protocol, explored exhaustively, with mutants that must be caught.
 *
 * @module
 */

export {};
