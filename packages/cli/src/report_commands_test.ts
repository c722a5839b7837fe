import type { SiteReport } from "@sardinestep/report";
import { expect } from "chai";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { buildLine } from "./_log_lines.ts";
import { reportSite } from "./report_commands.ts";

describe("sardinestep report", () => {
  const folder = mkdtempSync(join(tmpdir(), "sardinestep-report-"));
  after(() => rmSync(folder, { recursive: true }));

  // Two VMs use the same request id; each file has the end of its own request.
  it("tells how requests of two VMs ended, as text, data and page", async () => {
    const requestId = "a1";
    const admitted = { requestId, route: "drafts", customer: "dairy" };
    const outcome = { outcome: "200", tookMs: 10, objectiveMs: 100 };
    const files = ["vm-1", "vm-2"].map((vm) => {
      const file = join(folder, `${vm}.log`);
      const end = vm === "vm-1" ? outcome : { outcome: "brokenOff" };
      const rows = [
        buildLine(vm, 100, "request_admitted", admitted),
        buildLine(vm, 110, "request_answered", { requestId, ...end }),
      ];
      writeFileSync(file, rows.join("\n"));
      return file;
    });
    const page = join(folder, "report.html");
    const report = await reportSite({ files, page });
    expect(report.kind).to.equal("done");
    const { byCustomer } = report.data?.requests as SiteReport["requests"];
    expect(byCustomer[0]?.all).to.deep.equal({
      asked: 2,
      inTime: 1,
      late: 0,
      servedUnknown: 0,
      refusedAtOnce: 0,
      refusedLate: 0,
      refusedUnknown: 0,
      failed: 1,
      left: 0,
      unended: 0,
    });
    expect(report.lines).to.include("Requests by customer");
    expect(readFileSync(page, "utf8")).to.contain("Requests by customer");
  });

  it("names a file that can't be read", async () => {
    const file = join(folder, "missing.log");
    const report = await reportSite({ files: [file] });
    expect(report.kind).to.equal("failed");
    expect(JSON.stringify(report)).to.contain("Cannot read log");
  });
});
