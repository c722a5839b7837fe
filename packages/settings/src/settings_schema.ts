/**
 * Schemas of the settings files of the daemons and the command line.
 *
 * @module
 */
import * as z from "zod";

const ADDRESS = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/i,
  "expected an IP address and port, such as 127.0.0.1:7000",
);
const NAME = z.string().min(1).max(63);
const HTTP_URL = z.url({
  protocol: /^https?$/,
  error: "expected an http URL, such as http://127.0.0.1:9001",
});

const LOGS = z.strictObject({
  format: z.enum(["text", "json"]).default("text"),
  level: z.enum(["error", "warn", "info", "debug"]).default("info"),
}).prefault({});

/** Maximum clock difference; added to the time that claims must be kept. */
const MAX_CLOCK_SKEW_MS = 60_000;

const COMMON_FIELDS = {
  vmId: NAME,
  site: NAME,
  zone: NAME,
  logs: LOGS,
  /** Maximum time that a graceful shutdown waits for running requests. */
  shutdownBoundMs: z.int().min(0).default(30_000),
};

/** Settings of `sardinestep-entry`. */
export const ENTRY_SETTINGS_SCHEMA = z.strictObject({
  ...COMMON_FIELDS,
  /** Listen address for callers. */
  listenHttp: ADDRESS,
  /** Listen address for the other processes of the system. */
  listenRpc: ADDRESS,
  /** Control processes: the one on this VM first, then those of neighbours. */
  controls: z.array(ADDRESS).min(1),
  maxBodyBytes: z.int().min(1).default(1_048_576),
  bodyTimeoutMs: z.int().min(1).default(5_000),
  /** How long the entry keeps serving after it stops reporting ready. */
  leaveNoticeMs: z.int().min(0).default(2_000),
  /** Lifetime of a minted key. */
  mintedKeyTtlMs: z.int().min(1).default(600_000),
  /** Maximum lag between the VM lists of two VMs; part of the quarantine. */
  listLagMs: z.int().min(0).default(3_000),
  /** Maximum duration of a call to a cold endpoint; part of the quarantine. */
  longestCallMs: z.int().min(1).default(10_000),
  /** How long answers and stage results are kept for repeated requests. */
  keepResultsMs: z.int().min(0).default(120_000),
  maxKeptResults: z.int().min(1).default(20_000),
  timelineEvents: z.int().min(1).default(20_000),
});

/** Settings of `sardinestep-control`. */
export const CONTROL_SETTINGS_SCHEMA = z.strictObject({
  ...COMMON_FIELDS,
  listenRpc: ADDRESS,
  /** URLs of the platform's services. */
  logUrl: HTTP_URL,
  vmListUrl: HTTP_URL,
  /** Initial control processes of other VMs; the VM list adds more. */
  neighbours: z.array(ADDRESS).default([]),
  /** How long claims are collected into a batch for one append. */
  claimLingerMs: z.int().min(0).default(4),
  /** Maximum appends per second of this VM. */
  appendsPerSecond: z.int().min(1).default(30),
  /** Record retention of the log service. */
  logRetentionMs: z.int().min(1).default(3_600_000),
  /** Maximum age of a key; must stay well below the log retention. */
  keyWindowMs: z.int().min(1).default(900_000),
  gossipIntervalMs: z.int().min(10).default(300),
  loadIntervalMs: z.int().min(10).default(500),
  vmListIntervalMs: z.int().min(10).default(1_000),
  timelineEvents: z.int().min(1).default(20_000),
}).refine(
  ({ keyWindowMs, logRetentionMs }) =>
    keyWindowMs + MAX_CLOCK_SKEW_MS <= logRetentionMs / 2,
  {
    path: ["keyWindowMs"],
    message: "expected at most half of logRetentionMs, minus one minute",
  },
);

/** Settings of the `sardinestep` command line. */
export const CLI_SETTINGS_SCHEMA = z.strictObject({
  /** Control processes to query; the first that responds is used. */
  controls: z.array(ADDRESS).min(1),
  timeoutMs: z.int().min(1).default(10_000),
});

/** Checked settings of `sardinestep-entry`. */
export type EntrySettings = z.output<typeof ENTRY_SETTINGS_SCHEMA>;
/** Checked settings of `sardinestep-control`. */
export type ControlSettings = z.output<typeof CONTROL_SETTINGS_SCHEMA>;
/** Checked settings of `sardinestep`. */
export type CliSettings = z.output<typeof CLI_SETTINGS_SCHEMA>;
