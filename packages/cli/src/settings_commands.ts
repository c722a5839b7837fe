/**
 * `sardinestep settings`: which VMs have taken which settings.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import { createRefusal, formatTable, type Report } from "./report.ts";

/** Reads the text of a metrics page; rejects where nobody answers. */
export type ReadPage = (url: string) => Promise<string>;

/** What a VM tells of its settings. */
interface VmSettings {
  readonly address: string;
  readonly version: number | undefined;
  /** Changes that it refused since its start. */
  readonly refused: number;
  readonly fault: string | undefined;
}

const VERSION_METRIC = "sardinestep_settings_version";
const REFUSED_METRIC = "sardinestep_settings_refused_total";
const PAGE_TIMEOUT_MS = 2_000;

/** Reads a page by HTTP, within two seconds. */
export async function readPage(url: string): Promise<string> {
  const signal = AbortSignal.timeout(PAGE_TIMEOUT_MS);
  const response = await fetch(url, { signal });
  if (!response.ok) throw new Error(`status ${response.status}`);
  return await response.text();
}

/**
 * Compares the settings of VMs by what their metrics tell.
 *
 * @param addresses Where VMs serve their metrics, such as `10.1.0.41:7741`.
 * @param read Reads a page.
 * @returns A row for each VM; a refusal where they differ, where one has refused a
 * change, or where one doesn't answer.
 */
export async function compareSettings(
  addresses: readonly string[],
  read: ReadPage = readPage,
): Promise<Report> {
  if (addresses.length === 0) {
    return createRefusal(codes.createFailure("USAGE", "No address is named"));
  }
  const vms = await Promise.all(
    addresses.map((address) => readSettings(address, read)),
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
  return createRefusal(codes.createFailure("SETTINGS_DIFFER", message), {
    lines,
    data,
  });
}

async function readSettings(
  address: string,
  read: ReadPage,
): Promise<VmSettings> {
  const refused = 0;
  try {
    const page = await read(`http://${address}/metrics`);
    const version = findValue(page, VERSION_METRIC);
    return {
      address,
      version,
      refused: findValue(page, REFUSED_METRIC) ?? 0,
      fault: version === undefined ? "tells no version" : undefined,
    };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { address, version: undefined, refused, fault: reason };
  }
}

function findValue(page: string, name: string): number | undefined {
  const line = page.split("\n").find((one) => one.startsWith(`${name} `));
  return line === undefined ? undefined : Number(line.slice(name.length + 1));
}
