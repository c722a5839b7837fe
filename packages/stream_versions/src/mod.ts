/**
 * The software versions at which streams began, and where a resume may go on.
 *
 * @module
 */
export * from "./datagram.ts";
export * from "./holder_ring.ts";
export * from "./lookup.ts";
export * from "./note_exchange.ts";
export * from "./note_table.ts";
export * from "./resume.ts";
export * from "./stream_note.ts";
