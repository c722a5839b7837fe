/**
 * `sardinestep report`: load, outcomes and bottlenecks of a site, from the log
 * files of its VMs.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as siteReport from "@sardinestep/report";
import { writeFileSync } from "node:fs";
import { createFailureReport, formatTable, type Report } from "./report.ts";

/** Input and output files of {@link reportSite}. */
export interface ReportSiteOptions {
  /** Log files of any gateways. */
  readonly files: readonly string[];
  /** Output file of the optional HTML page with plots. */
  readonly page?: string;
}

/**
 * Builds the report of a site from log files.
 *
 * @param options Files to read, and the output file of the page.
 * @returns Tables as text, the whole report as JSON data.
 */
export async function reportSite(options: ReportSiteOptions): Promise<Report> {
  const { files, page } = options;
  if (files.length === 0) return createUsageReport("No log file given");
  const builder = new siteReport.ReportBuilder();
  let lines = 0;
  let skipped = 0;
  for (const file of files) {
    const counts = await siteReport.readLogFile(
      file,
      (line) => builder.add(line),
    );
    if (counts.isErr()) return createUsageReport(counts.error);
    lines += counts.value.lines;
    skipped += counts.value.skipped;
  }
  const report = builder.build({ lines, skipped });
  if (page !== undefined) {
    const writeError = writePage(page, report);
    if (writeError !== undefined) return createUsageReport(writeError);
  }
  return {
    kind: "done",
    lines: [
      ...siteReport.buildReportTables(report).flatMap((
        { title, header, rows },
      ) => [
        title,
        ...formatTable(header, rows),
        "",
      ]),
      `${lines} line(s), ${skipped} without an event`,
    ],
    data: { ...report },
  };
}

function writePage(
  page: string,
  report: siteReport.SiteReport,
): string | undefined {
  try {
    writeFileSync(page, siteReport.formatReportPage(report));
    return undefined;
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return `Cannot write page "${page}": ${reason}`;
  }
}

function createUsageReport(message: string): Report {
  return createFailureReport(codes.createFailure("USAGE", message));
}
