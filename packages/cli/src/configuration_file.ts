/**
 * Reads a configuration from a file, or from a folder of `base.json` and
 * `sites/*.json`.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as settings from "@sardinestep/settings";
import { readdirSync, statSync } from "node:fs";
import { basename, join } from "node:path";
import { Err, Ok, Result } from "ts-results-es";
import { createFailureReport, type Report } from "./report.ts";

const JSON_SUFFIX = ".json";

/**
 * Reads a configuration without validating it.
 *
 * @param path A file with the whole configuration, or a folder of `base.json` and
 * `sites/<site>.json`.
 * @returns The whole configuration, or a fault for each file that can't be read.
 * @example
 * ```ts
 * readConfiguration("examples/allgaeu");
 * ```
 */
export function readConfiguration(
  path: string,
): Result<unknown, readonly settings.ValidationFault[]> {
  return isFolder(path) ? readFolder(path) : settings.readJsonFile(path);
}

function isFolder(path: string): boolean {
  return statSync(path, { throwIfNoEntry: false })?.isDirectory() ?? false;
}

function readFolder(
  folder: string,
): Result<unknown, readonly settings.ValidationFault[]> {
  const sitesFolder = join(folder, "sites");
  const siteFiles = isFolder(sitesFolder)
    ? readdirSync(sitesFolder).filter((name) => name.endsWith(JSON_SUFFIX))
    : [];
  const base = settings.readJsonFile(join(folder, "base.json"));
  const overlays = siteFiles.sort().map((name) => ({
    site: basename(name, JSON_SUFFIX),
    value: settings.readJsonFile(join(sitesFolder, name)),
  }));
  const parts = [base, ...overlays.map((overlay) => overlay.value)];
  const faults = parts.flatMap((part) => part.isErr() ? [...part.error] : []);
  if (faults.length > 0) return Err(faults);
  const sites = overlays.map((
    overlay,
  ) => [overlay.site, overlay.value.unwrap()]);
  return Ok(
    settings.buildRawConfiguration(base.unwrap(), Object.fromEntries(sites)),
  );
}

/**
 * Adds the zones that are out of service to a configuration without `zonesOut`.
 *
 * Without this, an operator who publishes a file without `zonesOut` would bring a
 * zone back into service that another operator has taken out.
 *
 * @param value The configuration as read.
 * @param zonesOut The zones that are out of service now.
 * @returns The value with `zonesOut`.
 */
export function mergeZonesOut(
  value: unknown,
  zonesOut: readonly string[],
): unknown {
  if (typeof value !== "object" || value === null) return value;
  if (Object.hasOwn(value, "zonesOut")) return value;
  return { ...value, zonesOut: [...zonesOut] };
}

/**
 * Creates the report of an invalid configuration.
 *
 * @param path The file or folder that was read.
 * @param faults Every fault.
 * @returns The report.
 */
export function createInvalidReport(
  path: string,
  faults: readonly settings.ValidationFault[],
): Report {
  const failure = codes.createFailure(
    "CONFIG_INVALID",
    `Cannot use configuration "${path}": ${faults.length} fault(s)`,
  );
  return createFailureReport(failure, {
    lines: faults.map(settings.formatFault),
    data: { faults },
  });
}
