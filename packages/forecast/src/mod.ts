/**
 * Pure decisions at arrival: on time, deferred or refused, with margins learned from earlier forecasts.
 *
 * @module
 */
export {};
