/**
 * Speed of endpoints from their reports and answers, and placement by expected finish.
 *
 * @module
 */
export {};
