import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import fc from "fast-check";
import { ReportBuilder } from "./build_report.ts";
import type { LogLine } from "./log_lines.ts";
import { formatCause, parseOutcome } from "./outcomes.ts";
import type { EndCounts } from "./request_report.ts";
import { buildRequestTables } from "./request_tables.ts";
import type { SiteReport } from "./site_report.ts";

const START_MS = 1_780_000_000_000;
const OBJECTIVE_MS = 800;

type Fields = Record<string, unknown>;

function buildLine(atMs: number, event: string, fields: Fields): LogLine {
  const time = new Date(START_MS + atMs).toISOString();
  return { time, process: "p1", vm: "vm-1", sequence: atMs, event, ...fields };
}

function buildAdmitted(requestId: string, fields: Fields = {}): LogLine {
  return buildLine(0, "request_admitted", {
    requestId,
    route: "drafts",
    customer: "dairy",
    service: "engine",
    decision: "admitted",
    isReturn: false,
    lane: "onTime",
    marginMs: 40,
    ...fields,
  });
}

function buildAnswered(requestId: string, fields: Fields = {}): LogLine {
  return buildLine(900, "request_answered", {
    requestId,
    outcome: "streamed",
    tookMs: 900,
    objectiveMs: OBJECTIVE_MS,
    ...fields,
  });
}

function buildSent(requestId: string, atMs: number, fields: Fields): LogLine {
  return buildLine(atMs, "request_sent", { requestId, ...fields });
}

function buildStarted(requestId: string, atMs: number): LogLine {
  return buildLine(atMs, "stream_started", {
    requestId,
    firstEventMs: atMs,
    objectiveMs: OBJECTIVE_MS,
  });
}

function buildRefused(requestId: string, fields: Fields = {}): LogLine {
  return buildLine(1, "request_refused", {
    requestId,
    code: "QUEUE_FULL",
    reason: "An answer is expected to take 4123 ms",
    ...fields,
  });
}

function buildReport(lines: readonly LogLine[]): SiteReport {
  const builder = new ReportBuilder();
  for (const line of lines) builder.add(line);
  return builder.build({ lines: lines.length, skipped: 0 });
}

function getRoute(report: SiteReport, name = "drafts") {
  return report.requests.byRoute.find((group) => group.name === name)!;
}

/** Requests that end in each way, and a stopped process. */
const LINES = [
  buildAdmitted("a"),
  buildSent("a", 100, { endpointId: "e1", slowdown: 1 }),
  buildStarted("a", 200),
  buildAnswered("a"),
  buildAdmitted("b", { lane: "deferred", customer: "mill" }),
  buildSent("b", 700, { endpointId: "e2", slowdown: 2.5 }),
  buildStarted("b", 1_000),
  buildAnswered("b"),
  buildAdmitted("c", { lane: "refused", decision: "refused" }),
  buildRefused("c"),
  buildAdmitted("d", { isReturn: true }),
  buildAnswered("d", {
    outcome: "DEADLINE_OUT_OF_REACH",
    reason: "Stage 1 waited 700 ms and can't be done in time",
  }),
  buildAdmitted("e", { isReturn: true, customer: "mill" }),
  buildSent("e", 100, { endpointId: "e1", slowdown: 1.5 }),
  buildAnswered("e", { outcome: "OUTCOME_UNKNOWN", reason: "reset" }),
  buildAdmitted("f"),
  buildLine(50, "stage_queued", { requestId: "f", stage: 1 }),
  buildLine(500, "request_cancelled", { requestId: "f" }),
  buildAdmitted("g", { route: "tickets", service: "desk" }),
  buildSent("g", 10, { endpointId: "e9" }),
  buildAnswered("g", { outcome: "200", tookMs: 90 }),
  buildLine(2_000, "process_stopped", { connections: 6 }),
];

describe("ReportBuilder, requests", () => {
  it("counts ends by route and customer, lane and return", () => {
    const { requests } = buildReport(LINES);
    const [drafts] = requests.byRoute;
    expect(drafts!.all).to.deep.equal({
      asked: 6,
      inTime: 1,
      late: 1,
      servedUnknown: 0,
      refusedAtOnce: 1,
      refusedLate: 1,
      refusedUnknown: 0,
      failed: 1,
      left: 1,
      unended: 0,
    });
    expect(drafts!.deferred).to.include({ asked: 1, late: 1, inTime: 0 });
    expect(drafts!.returns).to.include({ asked: 2, refusedLate: 1, failed: 1 });
    expect(drafts!.meanMarginMs).to.equal(40);
    expect(requests.byCustomer.map(({ name, all }) => [name, all.asked]))
      .to.deep.equal([["dairy", 5], ["mill", 2]]);
  });

  it("compares first events with reported slowdowns", () => {
    const { endpoints, slowdowns } = buildReport(LINES);
    expect(endpoints.map(({ endpointId, share }) => [endpointId, share]))
      .to.deep.equal([["e9", 1], ["e1", 2 / 3], ["e2", 1 / 3]]);
    expect(endpoints[1]).to.include({ slowdown: 1.25, firstEventMs: 100 });
    expect(slowdowns).to.deep.equal([
      { service: "engine", from: 0, streams: 1, firstEventMs: 100 },
      { service: "engine", from: 2, streams: 1, firstEventMs: 300 },
    ]);
  });

  it("builds tables of text", function () {
    expectSnapshot(this, buildRequestTables(buildReport(LINES)));
  });

  it("counts a refusal as at once up to an eighth of the objective", () => {
    const build = (tookMs: number) =>
      getRoute(buildReport([
        buildAdmitted("a"),
        buildAnswered("a", { outcome: "STAGE_UNAVAILABLE", tookMs }),
      ])).all;
    expect(build(OBJECTIVE_MS / 8)).to.include({ refusedAtOnce: 1 });
    expect(build(OBJECTIVE_MS / 8 + 1)).to.include({ refusedLate: 1 });
  });

  // Answers cut by an exit or a deadline had no end, others counted as the caller's.
  it("counts answers that VMs ended by cause, once each", function () {
    const build = (id: string, event: string, fields: Fields): LogLine[] => [
      buildAdmitted(id),
      buildSent(id, 10, { endpointId: "e1" }),
      buildStarted(id, 90),
      buildLine(700, event, { requestId: id, ...fields }),
    ];
    const silent = {
      cause: "endpointSilent",
      reason: "Endpoint sent nothing for 1200 ms",
    };
    const report = buildReport([
      ...build("a", "response_truncated", silent),
      buildAnswered("a", { outcome: "brokenOff", reason: silent.reason }),
      ...build("b", "response_truncated", { ...silent, stoppingMs: 300 }),
      buildAnswered("b", { outcome: "brokenOff", reason: silent.reason }),
      ...build("c", "response_truncated", { cause: "exit", stoppingMs: 7_300 }),
      buildLine(701, "request_cancelled", { requestId: "c" }),
      ...build("d", "response_evicted", { unreadBytes: 9 }),
      buildLine(701, "request_cancelled", { requestId: "d" }),
    ]);
    expect(getRoute(report).all)
      .to.include({ asked: 4, failed: 4, left: 0, unended: 0 });
    const sum = { failed: 0, left: 0 };
    for (const { failed, left } of report.routes) {
      sum.failed += failed;
      sum.left += left;
    }
    expect(sum).to.deep.equal({ failed: 4, left: 0 });
    expectSnapshot(this, [report.truncations, report.causes]);
  });

  // A stream that was resumed counted as late, by the first event of its resume.
  it("takes the time to the first event of a resumed stream once", () => {
    const report = buildReport([
      buildAdmitted("a"),
      buildSent("a", 10, { endpointId: "e1" }),
      buildStarted("a", 90),
      buildSent("a", 1_700, { endpointId: "e2", lastEventId: "2" }),
      buildStarted("a", 1_746),
      buildAnswered("a", { tookMs: 2_500 }),
    ]);
    expect(getRoute(report).all).to.include({ inTime: 1, late: 0 });
    expect(report.routes[0]).to.include({ inTime: 1, late: 0 });
    expect(report.times[0]!.engine.count).to.equal(1);
    expect(report.endpoints.map(({ firstEventMs }) => firstEventMs))
      .to.deep.equal([80, 46]);
  });

  // Guards against figures that don't add up under a mix of ends, in any order of the
  // lines of different requests, and on two VMs that use equal request ids.
  it("counts each request of a generated load once", () => {
    const ends = ["inTime", "late", "refusedLate", "failed", "left", "unended"];
    fc.assert(fc.property(
      fc.array(fc.record({
        end: fc.constantFrom(...ends),
        vm: fc.constantFrom("vm-1", "vm-2"),
        lane: fc.constantFrom("onTime", "deferred", undefined),
        at: fc.nat(1_000),
      })),
      (requests) => {
        const lines = requests.flatMap(({ end, vm, lane, at }, index) =>
          buildRequestLines(`r${index >> 1}-${vm}-${index}`, end, lane)
            .map((line, step) => ({ line: { ...line, vm }, at: at + step }))
        ).sort((a, b) => a.at - b.at).map(({ line }) => line);
        const { requests: groups, causes } = buildReport(lines);
        const all = groups.byRoute[0]?.all;
        for (const end of ends) {
          const count = requests.filter((request) => request.end === end);
          expect(all?.[end as keyof EndCounts] ?? 0).to.equal(count.length);
        }
        const notServed = requests.filter(({ end }) =>
          end !== "inTime" && end !== "late"
        );
        expect(causes.reduce((sum, { count }) => sum + count, 0))
          .to.equal(notServed.length);
      },
    ));
  });
});

function buildRequestLines(
  id: string,
  end: string,
  lane: string | undefined,
): LogLine[] {
  const admitted = buildAdmitted(id, { lane });
  switch (end) {
    case "inTime":
      return [admitted, buildAnswered(id, { outcome: "200", tookMs: 1 })];
    case "late":
      return [admitted, buildAnswered(id, { outcome: "200", tookMs: 900 })];
    case "refusedLate":
      return [admitted, buildAnswered(id, { outcome: "QUEUE_FULL" })];
    case "failed":
      return [admitted, buildAnswered(id, { outcome: "brokenOff" })];
    case "left":
      return [admitted, buildLine(9, "request_cancelled", { requestId: id })];
    default:
      return [admitted];
  }
}

describe("ReportBuilder, values that lines lack", () => {
  // Guards against zeros for fields that an older gateway does not log.
  it("shows fields of an older gateway as unknown", () => {
    const report = buildReport([
      buildAdmitted("a", {
        customer: undefined,
        lane: undefined,
        marginMs: undefined,
        isReturn: undefined,
      }),
      buildSent("a", 10, { endpointId: "e1" }),
      buildAnswered("a", { tookMs: undefined, objectiveMs: undefined }),
      buildLine(2_000, "process_stopped", {}),
    ]);
    const route = getRoute(report);
    expect(route).to.include({ withoutLane: 1, withoutReturn: 1 });
    expect([route.deferred, route.returns, route.meanMarginMs])
      .to.deep.equal([undefined, undefined, undefined]);
    expect(route.all).to.include({ servedUnknown: 1, inTime: 0 });
    expect(report.requests.byCustomer[0]!.name).to.equal("unknown");
    expect(report.endpoints[0]).to.deep.include({
      slowdown: undefined,
      firstEventMs: undefined,
    });
    expect(report.connections).to.deep.equal({
      processes: 0,
      withoutNumber: 1,
      opened: undefined,
      served: 0,
      perServed: undefined,
    });
    const connections = buildRequestTables(report).at(-1)!;
    expect(connections.rows).to.deep.equal([
      ["0", "1", "unknown", "unknown", "unknown"],
    ]);
  });

  // Guards against a ratio of the connections of one process to the requests of
  // another, which was killed before it could log its own.
  it("leaves killed processes out of connections for each request", () => {
    const report = buildReport([
      buildAdmitted("a"),
      buildAnswered("a"),
      { ...buildAdmitted("b"), process: "p2" },
      { ...buildAnswered("b"), process: "p2" },
      { ...buildAdmitted("c"), process: "p2" },
      { ...buildLine(9, "process_stopped", { connections: 3 }), process: "p2" },
    ]);
    expect(report.connections).to.deep.equal({
      processes: 1,
      withoutNumber: 1,
      opened: 3,
      served: 1,
      perServed: 3,
    });
    expect(getRoute(report).all).to.include({ asked: 3, unended: 1 });
    expect(report.causes).to.deep.equal([
      { kind: "unknown", cause: "no line of the end", count: 1 },
    ]);
  });

  // Guards against a refusal that is lost or counted twice when the bucket of one
  // of its two events was empty.
  it("counts a refusal once if one of its lines was dropped", () => {
    const isRefused = { lane: "refused", decision: "refused" };
    const withoutCause = buildReport([buildAdmitted("a", isRefused)]);
    expect(getRoute(withoutCause).all).to.include({
      asked: 1,
      refusedAtOnce: 1,
      unended: 0,
    });
    expect(withoutCause.causes).to.deep.equal([
      { kind: "refused", cause: "unknown", count: 1 },
    ]);
    const withoutAdmission = buildReport([buildRefused("a")]);
    expect(getRoute(withoutAdmission, "unknown").all).to.include({
      asked: 1,
      refusedAtOnce: 1,
    });
  });

  // Guards against the time of a failed endpoint in the mean of the next one.
  it("counts a first event for the endpoint that was asked last", () => {
    const { endpoints } = buildReport([
      buildAdmitted("a"),
      buildSent("a", 100, { endpointId: "e1", slowdown: 1 }),
      buildSent("a", 400, { endpointId: "e2", slowdown: "soon" }),
      buildStarted("a", 450),
    ]);
    expect(endpoints.map(({ firstEventMs, slowdown, share }) => [
      firstEventMs,
      slowdown,
      share,
    ])).to.deep.equal([[undefined, 1, 0.5], [50, undefined, 0.5]]);
  });

  // Guards against memory that grows with messages that differ each time.
  it("counts causes beyond a bound together", () => {
    const names = Array.from(
      { length: 1_100 },
      (_, index) => [...String(index)].map((digit) => "abcdefghij"[+digit]),
    );
    const { causes } = buildReport(names.flatMap((name, index) => [
      buildAdmitted(`r${index}`),
      buildAnswered(`r${index}`, { outcome: "500", reason: name.join("") }),
    ]));
    expect(causes[0]).to.deep.equal({
      kind: "failed",
      cause: "other causes",
      count: 100,
    });
  });

  // Guards against a table of 32,000 rows.
  it("lists the busiest customers only", () => {
    const report = buildReport(
      Array.from(
        { length: 101 },
        (_, index) => buildAdmitted(`r${index}`, { customer: `c${index}` }),
      ),
    );
    const table = buildRequestTables(report)[1]!;
    expect(table.title).to.equal("Requests by customer (first 100 of 101)");
    expect(table.rows).to.have.length(100);
    expect(report.requests.byCustomer).to.have.length(101);
  });
});

describe("parseOutcome", () => {
  it("reads codes by whether the request was not run", () => {
    const outcomes = ["200", "streamed", "SHED_AFTER_START", "503", "toString"];
    expect(outcomes.map(parseOutcome)).to.deep.equal([
      "served",
      "served",
      "failed",
      "failed",
      "failed",
    ]);
    expect(formatCause(undefined, "after 3 ms")).to.equal(
      "unknown: after # ms",
    );
  });
});
