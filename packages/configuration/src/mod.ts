/**
 * Which configuration is in force.
 *
 * @module
 */
export * from "./record.ts";
export * from "./configuration_fold.ts";
export type { HistoryEntry, PublishJudgement } from "./acceptance_history.ts";
