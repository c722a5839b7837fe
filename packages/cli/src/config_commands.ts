/**
 * `sardinestep config check|compose|diff|publish|show|history`.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import type * as configuration from "@sardinestep/configuration";
import type * as rpc from "@sardinestep/rpc";
import * as settings from "@sardinestep/settings";
import { match } from "ts-pattern";
import {
  createInvalidReport,
  mergeZonesOut,
  readConfiguration,
} from "./configuration_file.ts";
import type { Context } from "./context.ts";
import { callAnyControl } from "./controls.ts";
import { createStaleBaseReport, runPublication } from "./publish.ts";
import { createFailureReport, formatTable, type Report } from "./report.ts";

type InForce = configuration.VersionedConfiguration | null;

/**
 * Validates a configuration without calling any process.
 *
 * @param path A file or folder.
 * @returns The counts of its parts, or every fault.
 */
export function checkConfiguration(path: string): Report {
  const parsed = readConfiguration(path).andThen(settings.parseConfiguration);
  if (parsed.isErr()) return createInvalidReport(path, parsed.error);
  const { base, sites, zonesOut } = parsed.value;
  const counts = {
    pipelines: Object.keys(base.pipelines).length,
    services: Object.keys(base.services).length,
    customers: Object.keys(base.customers).length,
    sites: Object.keys(sites).length,
    zonesOut: zonesOut.length,
  };
  const listed = Object.entries(counts).map(([name, count]) =>
    `${name} ${count}`
  );
  return {
    kind: "done",
    lines: [`Configuration "${path}" is valid: ${listed.join(", ")}`],
    data: { path, counts },
  };
}

/**
 * Composes the whole configuration of a folder without calling any process.
 *
 * @param path A file or folder.
 * @returns The configuration as JSON, or every fault.
 */
export function buildComposedConfiguration(path: string): Report {
  const whole = readConfiguration(path);
  const checked = whole.andThen(settings.parseConfiguration);
  if (checked.isErr()) return createInvalidReport(path, checked.error);
  return {
    kind: "done",
    lines: JSON.stringify(whole.unwrap(), null, 2).split("\n"),
    data: { configuration: whole.unwrap() },
  };
}

/**
 * Compares a file or folder with the configuration in force.
 *
 * @param context RPC client and settings.
 * @param path A file or folder.
 * @returns Every difference.
 */
export async function compareWithInForce(
  context: Context,
  path: string,
): Promise<Report> {
  const inForce = await callAnyControl(context, "configuration", {});
  if (inForce.isErr()) return inForce.error;
  const planned = readPlannedConfiguration(path, inForce.value);
  if (planned.isErr()) return createInvalidReport(path, planned.error);
  const changes = buildChanges(inForce.value, planned.value);
  const version = inForce.value?.version ?? 0;
  const summary = changes.length === 0
    ? `No difference from version ${version}`
    : `${changes.length} difference(s) from version ${version}`;
  return {
    kind: "done",
    lines: [summary, ...changes.map(settings.formatChange)],
    data: { version, changes },
  };
}

/** Options of `config publish`. */
export interface PublishOptions {
  readonly note: string;
  readonly author: string;
  /** The version that was edited; the one in force when undefined. */
  readonly base?: number;
}

/**
 * Publishes a configuration.
 *
 * @param context RPC client and settings.
 * @param path A file or folder.
 * @param options Note, author and base.
 * @returns The new version, or the reason why there is none.
 */
export async function publishConfiguration(
  context: Context,
  path: string,
  options: PublishOptions,
): Promise<Report> {
  const inForce = await callAnyControl(context, "configuration", {});
  if (inForce.isErr()) return inForce.error;
  const planned = readPlannedConfiguration(path, inForce.value);
  if (planned.isErr()) return createInvalidReport(path, planned.error);
  const base = options.base ?? inForce.value?.version ?? 0;
  const result = await runPublication(context, {
    base,
    author: options.author,
    note: options.note,
    configuration: planned.value,
  });
  const changes = buildChanges(inForce.value, planned.value);
  return match(result)
    .returnType<Report>()
    .with({ kind: "accepted" }, ({ version }) => ({
      kind: "done",
      lines: [
        `Accepted as version ${version}: ${changes.length} change(s) from version ${base}`,
      ],
      data: { version, base, changes },
    }))
    .with({ kind: "lost" }, (lost) => createStaleBaseReport(lost, base))
    .with({ kind: "ended" }, ({ report }) => report)
    .exhaustive();
}

function readPlannedConfiguration(path: string, inForce: InForce) {
  return readConfiguration(path)
    .map((value) => mergeZonesOut(value, getZonesOut(inForce)))
    .andThen(settings.parseConfiguration);
}

/** Reads without the schema, since the configuration in force may be of a newer one. */
function getZonesOut(inForce: InForce): readonly string[] {
  const zonesOut = settings.findAtPath(inForce?.configuration, ["zonesOut"]);
  if (!Array.isArray(zonesOut)) return [];
  return zonesOut.filter((zone) => typeof zone === "string");
}

function buildChanges(
  inForce: InForce,
  planned: settings.Configuration,
): readonly settings.ConfigurationChange[] {
  if (inForce === null) return settings.findChanges(undefined, planned);
  const parsed = settings.parseConfiguration(inForce.configuration);
  const before = parsed.unwrapOr(inForce.configuration);
  return settings.findChanges(before, planned);
}

/**
 * Shows the configuration in force.
 *
 * @param context RPC client and settings.
 * @param version The expected version; any when undefined.
 * @returns The configuration as JSON with version, author and note.
 */
export async function readConfigurationInForce(
  context: Context,
  version: number | undefined,
): Promise<Report> {
  const inForce = await callAnyControl(context, "configuration", {});
  if (inForce.isErr()) return inForce.error;
  const found = inForce.value;
  if (found === null) return createNotFound("No configuration is in force yet");
  if (version !== undefined && version !== found.version) {
    return createNotFound(
      `Cannot show version ${version}: version ${found.version} is in force, and control processes keep no other`,
    );
  }
  return {
    kind: "done",
    lines: [
      `Version ${found.version} by ${found.author}: ${found.note}`,
      ...JSON.stringify(found.configuration, null, 2).split("\n"),
    ],
    data: { ...found },
  };
}

function createNotFound(message: string): Report {
  return createFailureReport(codes.createFailure("NOT_FOUND", message));
}

/**
 * Lists every record of the configuration stream with its verdict.
 *
 * @param context RPC client and settings.
 * @returns The records, newest last.
 */
export async function readHistory(context: Context): Promise<Report> {
  const history = await callAnyControl(context, "history", {});
  if (history.isErr()) return history.error;
  const rows = history.value.map(formatHistoryRow);
  return {
    kind: "done",
    lines: formatTable(
      ["OFFSET", "TIME", "VERDICT", "BASE", "AUTHOR", "RECORD", "NOTE"],
      rows,
    ),
    data: { history: history.value },
  };
}

function formatHistoryRow(row: rpc.HistoryRow): string[] {
  return [
    String(row.offset),
    new Date(row.time).toISOString(),
    row.version === undefined ? "not accepted" : `version ${row.version}`,
    String(row.base),
    row.author,
    row.recordId,
    row.note,
  ];
}
