/**
 * Names of the events that the gateway logs.
 *
 * @module
 */

/** Event names; docs/LOGS.md describes their fields. */
export const EVENT = {
  processStarted: "process_started",
  processReady: "process_ready",
  processStopping: "process_stopping",
  processStopped: "process_stopped",
  settingsReloaded: "settings_reloaded",
  dependencyLost: "dependency_lost",
  dependencyBack: "dependency_back",
  registryRestored: "registry_restored",
  topicListed: "topic_listed",
  configurationApplied: "configuration_applied",
  zoneChanged: "zone_changed",
  endpointChanged: "endpoint_changed",
  endpointAvoided: "endpoint_avoided",
  endpointCold: "endpoint_cold",
  endpointLimited: "endpoint_limited",
  endpointLeaving: "endpoint_leaving",
  endpointPaused: "endpoint_paused",
  serviceBrittle: "service_brittle",
  endpointLost: "endpoint_lost",
  endpointReplaced: "endpoint_replaced",
  pathLost: "path_lost",
  pathFound: "path_found",
  memberChanged: "member_changed",
  leaderChanged: "leader_changed",
  rolloutOrdered: "rollout_ordered",
  rolloutChanged: "rollout_changed",
  rolloutReported: "rollout_reported",
  recordIgnored: "record_ignored",
  requestQuarantined: "request_quarantined",
  quarantineWritten: "quarantine_written",
  requestAdmitted: "request_admitted",
  requestRefused: "request_refused",
  requestSent: "request_sent",
  requestNotRun: "request_not_run",
  requestRepeated: "request_repeated",
  takeoverDecided: "takeover_decided",
  streamResumed: "stream_resumed",
  streamStarted: "stream_started",
  requestAnswered: "request_answered",
  requestCancelled: "request_cancelled",
  connectionsClosed: "connections_closed",
  responseEvicted: "response_evicted",
  responseTruncated: "response_truncated",
  stageQueued: "stage_queued",
  stageDone: "stage_done",
  callStarted: "call_started",
  callEnded: "call_ended",
  faultMet: "fault_met",
  clockPaused: "clock_paused",
} as const;
/** A value of {@link EVENT}. */
export type EventName = typeof EVENT[keyof typeof EVENT];

/** Where an update of the cluster state came from, for the log. */
export type UpdateSource = "registry" | "peer";
/** How this VM learned what an endpoint states about itself, for the log. */
export type NoticeSource = "answer" | "peer";
