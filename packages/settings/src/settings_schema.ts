/**
 * Schemas of the settings files of the daemons and of the command line.
 *
 * @module
 */
import * as z from "zod";

const ADDRESS = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/i,
  "expected an IP number and a port, such as 127.0.0.1:7000",
);
const NAME = z.string().min(1).max(63);
const URL_OF_SERVICE = z.url({
  protocol: /^https?$/,
  error: "expected an http URL, such as http://127.0.0.1:9001",
});

const LOGS = z.strictObject({
  format: z.enum(["text", "json"]).default("text"),
  level: z.enum(["error", "warn", "info", "debug"]).default("info"),
}).prefault({});

/** How far clocks may differ; part of the time that a claim must be kept. */
const CLOCK_SKEW_MS = 60_000;

const PLACE = {
  vmId: NAME,
  site: NAME,
  zone: NAME,
  logs: LOGS,
  /** How long a planned stop waits for running requests. */
  shutdownBoundMs: z.int().min(0).default(30_000),
};

/** Settings of `sardinestep-entry`. */
export const ENTRY_SETTINGS_SCHEMA = z.strictObject({
  ...PLACE,
  /** Where callers connect. */
  listenHttp: ADDRESS,
  /** Where the system's other processes connect. */
  listenRpc: ADDRESS,
  /** Control processes, the own VM's first, then neighbours. */
  controls: z.array(ADDRESS).min(1),
  maxBodyBytes: z.int().min(1).default(1_048_576),
  bodyTimeoutMs: z.int().min(1).default(5_000),
  /** How long this entry still serves after its readiness has gone. */
  leaveNoticeMs: z.int().min(0).default(2_000),
  /** How long a minted key may be used. */
  mintedKeyTtlMs: z.int().min(1).default(600_000),
  /** How much older one VM's list may be than another's; part of the quarantine. */
  listLagMs: z.int().min(0).default(3_000),
  /** The longest that a call to a cold endpoint may run; part of the quarantine. */
  longestCallMs: z.int().min(1).default(10_000),
  /** How long answers and stage results are kept for callers who repeat. */
  keepResultsMs: z.int().min(0).default(120_000),
  maxKeptResults: z.int().min(1).default(20_000),
  timelineEvents: z.int().min(1).default(20_000),
});

/** Settings of `sardinestep-control`. */
export const CONTROL_SETTINGS_SCHEMA = z.strictObject({
  ...PLACE,
  listenRpc: ADDRESS,
  /** Where the platform's services answer. */
  logUrl: URL_OF_SERVICE,
  vmListUrl: URL_OF_SERVICE,
  /** Control processes of other VMs to start from; the VM list adds more. */
  neighbours: z.array(ADDRESS).default([]),
  /** How long claims wait for others before they share one append. */
  claimLingerMs: z.int().min(0).default(4),
  /** Appends a second that this VM may use at most. */
  appendsPerSecond: z.int().min(1).default(30),
  /** How long the log service keeps records. */
  logRetentionMs: z.int().min(1).default(3_600_000),
  /** How old a key may be; must stay well below the log's retention. */
  keyWindowMs: z.int().min(1).default(900_000),
  gossipIntervalMs: z.int().min(10).default(300),
  loadIntervalMs: z.int().min(10).default(500),
  vmListIntervalMs: z.int().min(10).default(1_000),
  timelineEvents: z.int().min(1).default(20_000),
}).refine(
  ({ keyWindowMs, logRetentionMs }) =>
    keyWindowMs + CLOCK_SKEW_MS <= logRetentionMs / 2,
  {
    path: ["keyWindowMs"],
    message: "expected at most half of logRetentionMs, less a minute",
  },
);

/** Settings of the `sardinestep` command line. */
export const CLI_SETTINGS_SCHEMA = z.strictObject({
  /** Control processes to ask; the first that answers is used. */
  controls: z.array(ADDRESS).min(1),
  timeoutMs: z.int().min(1).default(10_000),
});

/** Checked settings of `sardinestep-entry`. */
export type EntrySettings = z.output<typeof ENTRY_SETTINGS_SCHEMA>;
/** Checked settings of `sardinestep-control`. */
export type ControlSettings = z.output<typeof CONTROL_SETTINGS_SCHEMA>;
/** Checked settings of `sardinestep`. */
export type CliSettings = z.output<typeof CLI_SETTINGS_SCHEMA>;
