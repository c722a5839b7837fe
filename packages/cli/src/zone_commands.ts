/**
 * `sardinestep zone out|in`: takes a zone out of service or brings it back.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import type * as configuration from "@sardinestep/configuration";
import * as settings from "@sardinestep/settings";
import { Err, Ok, type Result } from "ts-results-es";
import type { Context } from "./context.ts";
import { callAnyControl } from "./controls.ts";
import { createStaleBaseReport, runPublication } from "./publish.ts";
import { createFailureReport, type Report } from "./report.ts";

/** Whether a zone is out of service or in service. */
export type ZoneState = "out" | "in";

/** Options of `zone out` and `zone in`. */
export interface ZoneOptions {
  readonly state: ZoneState;
  readonly author: string;
  /** Whether a site may be left without any zone in service. */
  readonly evenLast?: boolean;
}

/**
 * Upper bound of publish attempts. Each conflict means that another author's
 * version came in force meanwhile; five in a row are no coincidence, and the
 * operator should see them.
 */
const MAX_PUBLISH_ATTEMPTS = 5;

/** A change of the state of one zone. */
interface ZoneChange {
  readonly base: number;
  /** Undefined when nothing needs to change. */
  readonly configuration?: unknown;
}

/**
 * Takes a zone out of service, or brings it back, based on the version in force.
 * After a conflict it prints a progress line and retries on the new version: the
 * change concerns one zone only, so it means the same there.
 *
 * @param context RPC client and settings.
 * @param zone The failure domain.
 * @param options State and author.
 * @returns The version with the change, or the reason why there is none.
 */
export async function setZoneState(
  context: Context,
  zone: string,
  options: ZoneOptions,
): Promise<Report> {
  let conflictReport: Report | undefined;
  for (let attempt = 0; attempt < MAX_PUBLISH_ATTEMPTS; attempt += 1) {
    const inForce = await callAnyControl(context, "configuration", {});
    if (inForce.isErr()) return inForce.error;
    const planned = planZoneChange(inForce.value, zone, options);
    if (planned.isErr()) return planned.error;
    const { base } = planned.value;
    const data = { zone, state: options.state };
    if (planned.value.configuration === undefined) {
      return createDoneReport(
        `Zone "${zone}" is ${options.state} already, in version ${base}`,
        { ...data, version: base, changed: false },
      );
    }
    const result = await runPublication(context, {
      base,
      author: options.author,
      note: `Zone ${zone} ${options.state}`,
      configuration: planned.value.configuration,
    });
    if (result.kind === "ended") return result.report;
    if (result.kind === "accepted") {
      return createDoneReport(
        `Accepted as version ${result.version}: zone "${zone}" is ${options.state}`,
        { ...data, version: result.version, changed: true },
      );
    }
    conflictReport = createStaleBaseReport(result, base);
    context.printProgress(
      `Lost against version ${result.inForce} by ${result.author}; trying again on top of it`,
    );
  }
  return conflictReport ?? createNotFound("No publish attempt was made");
}

function createDoneReport(line: string, data: Record<string, unknown>): Report {
  return { kind: "done", lines: [line], data };
}

function createNotFound(message: string, data = {}): Report {
  return createFailureReport(codes.createFailure("NOT_FOUND", message), {
    data,
  });
}

/**
 * Computes the change of one zone. The rest of the configuration is kept, including
 * fields that this program does not know.
 */
function planZoneChange(
  inForce: configuration.VersionedConfiguration | null,
  zone: string,
  { state, evenLast }: ZoneOptions,
): Result<ZoneChange, Report> {
  if (inForce === null) {
    return Err(createNotFound("No configuration is in force yet"));
  }
  const base = inForce.version;
  const value = inForce.configuration;
  const zones = findZones(value);
  if (!zones.includes(zone)) {
    const message = `Cannot find zone "${zone}": the zones are ${
      zones.join(", ")
    }`;
    return Err(createNotFound(message, { zones }));
  }
  const zonesOut = getStrings(settings.findAtPath(value, ["zonesOut"]));
  const isOut = zonesOut.includes(zone);
  if (isOut === (state === "out")) return Ok({ base });
  const others = zonesOut.filter((other) => other !== zone);
  const changed = state === "out" ? [...others, zone] : others;
  const emptySite = state === "out" && !evenLast
    ? findSiteWithoutZone(value, changed)
    : undefined;
  if (emptySite !== undefined) return Err(createNoZoneReport(zone, emptySite));
  return Ok({
    base,
    configuration: { ...value as object, zonesOut: changed },
  });
}

/**
 * Prevents that a site loses its last zone in service, by mistake or because two
 * operators take out one zone each concurrently: every request there would be
 * refused. After a conflict the change is planned again on the new version, and
 * this check refuses it.
 */
function findSiteWithoutZone(
  value: unknown,
  zonesOut: readonly string[],
): string | undefined {
  return findSites(value).find((site) => {
    const zones = getStrings(
      settings.findAtPath(value, ["sites", site, "zones"]),
    );
    return zones.every((zone) => zonesOut.includes(zone));
  });
}

function createNoZoneReport(zone: string, site: string): Report {
  const failure = codes.createFailure(
    "CONFIG_INVALID",
    `Cannot take zone "${zone}" out: site "${site}" would have none in service`,
  );
  return createFailureReport(failure, {
    lines: ["Every request there would be refused. If that is meant:"]
      .concat(`  sardinestep zone out ${zone} --even-last`),
    data: { zone, site },
  });
}

function findSites(value: unknown): string[] {
  const sites = settings.findAtPath(value, ["sites"]);
  if (typeof sites !== "object" || sites === null) return [];
  return Object.keys(sites);
}

function findZones(value: unknown): string[] {
  const zones = findSites(value).flatMap((site) =>
    getStrings(settings.findAtPath(value, ["sites", site, "zones"]))
  );
  return [...new Set(zones)];
}

function getStrings(value: unknown): string[] {
  if (!Array.isArray(value)) return [];
  return value.filter((element) => typeof element === "string");
}
