/**
 * `sardinestep report`: what binds on a site, from the log files of its VMs.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as siteReport from "@sardinestep/report";
import { writeFileSync } from "node:fs";
import { createRefusal, formatTable, type Report } from "./report.ts";

/** What {@link reportSite} reads and where a page goes. */
export interface ReportSiteOptions {
  /** Log files of any gateways. */
  readonly files: readonly string[];
  /** File for the page with plots, if one is wanted. */
  readonly page?: string;
}

/**
 * Tells what binds on a site.
 *
 * @param options Files to read, and where a page goes.
 * @returns Tables for people, the whole report for programs.
 */
export async function reportSite(options: ReportSiteOptions): Promise<Report> {
  const { files, page } = options;
  if (files.length === 0) return refuse("No log file is named");
  const builder = new siteReport.ReportBuilder();
  let lines = 0;
  let skipped = 0;
  for (const file of files) {
    const read = await siteReport.readLogFile(
      file,
      (line) => builder.add(line),
    );
    if (read.isErr()) return refuse(read.error);
    lines += read.value.lines;
    skipped += read.value.skipped;
  }
  const report = builder.build({ lines, skipped });
  if (page !== undefined) {
    const failure = writePage(page, report);
    if (failure !== undefined) return refuse(failure);
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
      `${lines} line(s), ${skipped} without event`,
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

function refuse(message: string): Report {
  return createRefusal(codes.createFailure("USAGE", message));
}
