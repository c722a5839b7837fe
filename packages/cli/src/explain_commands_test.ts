import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import { buildLine } from "./_log_lines.ts";
import { explainLines, explainRequest } from "./explain_commands.ts";

describe("sardinestep explain", () => {
  const rows = [
    buildLine("vm-1", 100, "request_admitted", { requestId: "a1" }),
    buildLine("vm-1", 101, "stage_queued", { requestId: "a1", stage: 0 }),
    buildLine("vm-1", 400, "request_sent", {
      requestId: "a1",
      endpointId: "e",
    }),
    buildLine("vm-1", 500, "request_answered", { requestId: "a1" }),
    buildLine("vm-1", 300, "endpoint_avoided", { endpointId: "e" }),
    buildLine("vm-1", 310, "endpoint_avoided", { endpointId: "other" }),
    buildLine("vm-2", 9_150, "call_started", { requests: ["a1", "b2"] }),
    buildLine("vm-3", 200, "request_sent", { requestId: "c3" }),
  ];

  // The leader's clock is nine seconds ahead: by wall clock its call starts after
  // the answer to which it contributed.
  it("orders lines of VMs with different clocks", () => {
    const report = explainLines("a1", [...rows].reverse().join("\n"));
    expect(report.lines.map((line) => line.trim().split(/\s+/)[3]))
      .to.deep.equal([
        "request_admitted",
        "stage_queued",
        "endpoint_avoided",
        "request_sent",
        "request_answered",
        "call_started",
      ]);
    expect(report.lines.at(-1)).to.match(/^ +400 ms/);
  });

  it("skips and counts truncated lines and lines without an event, and accepts leading columns", () => {
    const text = [`12.5 vm-1 ${rows[0]}`, rows[1]!.slice(0, 40), "{}", ""];
    const report = explainLines("a1", text.join("\n"));
    expect(report.data).to.deep.include({ requestId: "a1", skipped: 2 });
    expect(report.lines.at(-1)).to.equal("2 line(s) hold no event");
  });

  // The stop of the VM and a lost path beside a truncated stream were left out.
  it("shows why a VM ended a stream that had begun", function () {
    const truncated = [
      buildLine("vm-1", 0, "request_admitted", {
        requestId: "s1",
        route: "drafts",
        service: "engine",
        decision: "admitted",
      }),
      buildLine("vm-1", 40, "request_sent", {
        requestId: "s1",
        endpointId: "e-1",
        leftMs: 7_960,
        send: 1,
      }),
      buildLine("vm-1", 190, "stream_started", {
        requestId: "s1",
        firstEventMs: 190,
        objectiveMs: 800,
      }),
      buildLine("vm-1", 700, "process_stopping", { active: 9 }),
      buildLine("vm-2", 710, "process_stopping", { active: 3 }),
      buildLine("vm-1", 900, "path_lost", { endpointId: "e-1", lost: 1 }),
      buildLine("vm-1", 910, "path_lost", { endpointId: "e-9", lost: 2 }),
      buildLine("vm-2", 920, "clock_paused", { gapMs: 300 }),
      buildLine("vm-1", 1_390, "request_repeated", {
        requestId: "s1",
        service: "engine",
        reason: "Endpoint sent nothing for 1200 ms",
        isAllowed: true,
        sends: 1,
      }),
      buildLine("vm-1", 1_391, "stream_resumed", {
        requestId: "s1",
        lastEventId: "7",
        reason: "Endpoint sent nothing for 1200 ms",
      }),
      buildLine("vm-1", 1_392, "request_sent", {
        requestId: "s1",
        endpointId: "e-2",
        leftMs: 6_608,
        send: 2,
        lastEventId: "7",
      }),
      buildLine("vm-1", 1_400, "endpoint_lost", {
        endpointId: "e-3",
        requests: [{ requestId: "s1", ageMs: 8 }],
      }),
      buildLine("vm-1", 1_450, "response_truncated", {
        requestId: "s1",
        cause: "resumeFailed",
        reason: "Endpoints refused the request with status 503",
        ageMs: 1_450,
        silentMs: 1_260,
        unreadBytes: 0,
        stoppingMs: 750,
      }),
      buildLine("vm-1", 1_451, "request_answered", {
        requestId: "s1",
        outcome: "brokenOff",
        reason: "Endpoints refused the request with status 503",
      }),
      buildLine("vm-1", 9_000, "process_stopped", { ended: 0 }),
    ];
    expectSnapshot(this, explainLines("s1", truncated.join("\n")).lines);
  });

  it("fails if no line mentions the request or a file is missing", () => {
    expect(explainLines("zz", rows.join("\n"))).to.deep.include({
      kind: "failed",
    });
    const report = explainRequest("a1", ["no/such/file.log"]);
    expect(report).to.have.nested.property("failure.code", "USAGE");
  });
});
