/**
 * `sardinestep settings`: compares the settings versions that VMs have applied.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import { createFailureReport, formatTable, type Report } from "./report.ts";

/** Fetches the text of a metrics page; rejects if the VM does not answer. */
export type ReadMetricsPage = (url: string) => Promise<string>;

/** The settings of a VM as its metrics report them. */
interface VmSettings {
  readonly address: string;
  readonly version: number | undefined;
  /** Changes that the VM refused since its start. */
  readonly refused: number;
  readonly fault: string | undefined;
}

const VERSION_METRIC = "sardinestep_settings_version";
const REFUSED_METRIC = "sardinestep_settings_refused_total";
const METRICS_PAGE_TIMEOUT_MS = 2_000;

/** Fetches a metrics page over HTTP, within two seconds. */
export async function readMetricsPage(url: string): Promise<string> {
  const signal = AbortSignal.timeout(METRICS_PAGE_TIMEOUT_MS);
  const response = await fetch(url, { signal });
  if (!response.ok) throw new Error(`status ${response.status}`);
  return await response.text();
}

/**
 * Compares the settings of VMs by their metrics.
 *
 * @param addresses Metrics addresses of the VMs, such as `10.1.0.41:7741`.
 * @param readMetrics Fetches a metrics page.
 * @returns A row for each VM; a failure if their versions differ, if one has refused a
 * change, or if one doesn't answer.
 */
export async function compareSettings(
  addresses: readonly string[],
  readMetrics: ReadMetricsPage = readMetricsPage,
): Promise<Report> {
  if (addresses.length === 0) {
    return createFailureReport(
      codes.createFailure("USAGE", "No address given"),
    );
  }
  const vms = await Promise.all(
    addresses.map((address) => readSettings(address, readMetrics)),
  );
  const lines = formatTable(
    ["address", "version", "refused", "fault"],
    vms.map(({ address, version, refused, fault }) => [
      address,
      version === undefined ? "-" : String(version),
      String(refused),
      fault ?? "",
    ]),
  );
  const versions = new Set(vms.map(({ version }) => version));
  const isSame = versions.size === 1 && !versions.has(undefined) &&
    vms.every(({ refused }) => refused === 0);
  const data = { vms };
  if (isSame) return { kind: "done", lines, data };
  const message = "VMs differ in their settings, refused them or don't answer";
  return createFailureReport(codes.createFailure("SETTINGS_DIFFER", message), {
    lines,
    data,
  });
}

async function readSettings(
  address: string,
  readMetrics: ReadMetricsPage,
): Promise<VmSettings> {
  const refused = 0;
  try {
    const page = await readMetrics(`http://${address}/metrics`);
    const version = findMetricValue(page, VERSION_METRIC);
    return {
      address,
      version,
      refused: findMetricValue(page, REFUSED_METRIC) ?? 0,
      fault: version === undefined ? "reports no settings version" : undefined,
    };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { address, version: undefined, refused, fault: reason };
  }
}

function findMetricValue(page: string, name: string): number | undefined {
  const line = page.split("\n").find((candidate) =>
    candidate.startsWith(`${name} `)
  );
  return line === undefined ? undefined : Number(line.slice(name.length + 1));
}
