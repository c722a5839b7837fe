/**
 * The decisions under load: admit, queue, refuse, place, hedge, shift, cancel.
 * No sockets, clock or randomness of their own: time and random numbers come in
 * with the event.
 *
 * @module
 */
export * from "./event.ts";
export * from "./action.ts";
export * from "./decider.ts";
