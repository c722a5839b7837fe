/**
 * The replicated configuration: which version is in force.
 *
 * @module
 */
export * from "./record.ts";
export * from "./configuration_state_machine.ts";
export type { HistoryEntry, PublishJudgement } from "./publish_history.ts";
