import type * as ports from "@sardinestep/ports";
import type * as timeline from "@sardinestep/timeline";
import type { EndpointState, LoadReport } from "@sardinestep/types";
import { expect } from "chai";
import { Err, Ok, type Result } from "ts-results-es";
import { letRun } from "./_fake_log.ts";
import { EndpointController } from "./endpoint_controller.ts";

const ENDPOINT = {
  endpointId: "e-1",
  service: "tickets",
  role: "service",
  zone: "zone-a",
  address: "127.0.0.1:1",
  coldConcurrency: 1,
  warmConcurrency: 8,
  state: "live",
} as const;
const INTERVAL_MS = 1;

type Report = Result<LoadReport, ports.PortError>;

/** Measured when it is read: an older report says nothing of later news. */
type ReadReport = () => Report;

function createReport(state: EndpointState, instance = "run-1"): ReadReport {
  return () => buildReport(state, instance);
}

function buildReport(state: EndpointState, instance: string): Report {
  const endpointId = "e-1";
  const measuredAt = performance.now();
  return Ok({
    endpointId,
    instance,
    state,
    measuredAt,
    running: 0,
    waiting: 0,
  });
}

const MISSED: ReadReport = () => Err({ kind: "timeout", message: "Silent" });

describe("EndpointController", () => {
  const opened: EndpointController[] = [];

  afterEach(() => {
    for (const controller of opened.splice(0)) controller.close();
  });

  /** Reads reports from a list; the last one is given again and again. */
  function openController(reports: readonly ReadReport[] = []) {
    const states: string[] = [];
    const left = [...reports];
    const readLoad = () => {
      const report = left.length > 1 ? left.shift() : left[0];
      return report ? Promise.resolve(report()) : new Promise(() => {});
    };
    const controller = new EndpointController({
      endpoints: { readLoad } as unknown as ports.EndpointPort,
      loadIntervalMs: INTERVAL_MS,
      timeline: { record: () => {} } as unknown as timeline.Timeline,
      onChange: (changed) => states.push(...changed.map(({ state }) => state)),
      onReport: () => {},
    });
    opened.push(controller);
    return { controller, states };
  }

  function applyList(
    controller: EndpointController,
    endpoints: readonly unknown[] = [ENDPOINT],
    asOf = Date.now(),
  ): void {
    const list = { vms: [], endpoints, asOf } as unknown as ports.VmList;
    controller.applyList(list, performance.now());
  }

  async function waitForState(states: string[], state: string): Promise<void> {
    while (!states.includes(state)) {
      await new Promise((done) => setTimeout(done, INTERVAL_MS));
    }
  }

  it("counts an endpoint of the list as cold until it reports", async () => {
    const { controller, states } = openController([createReport("warm")]);
    applyList(controller);
    expect(states).to.deep.equal(["cold"]);
    controller.start();
    await waitForState(states, "warm");
    expect(controller.getLoads()).to.have.length(1);
  });

  it("counts it as silent after some missed reports, and as heard again", async () => {
    const reports = [createReport("warm"), MISSED, MISSED, MISSED];
    const { controller, states } = openController([
      ...reports,
      createReport("warm"),
    ]);
    applyList(controller);
    controller.start();
    await waitForState(states, "silent");
    states.length = 0;
    await waitForState(states, "warm");
  });

  // A worker gets more than it bears right after its restart: control still went
  // by the report of the run before.
  it("counts another run as cold whatever it reported before", async () => {
    const reports = [createReport("warm"), createReport("cold", "run-2")];
    const { controller, states } = openController(reports);
    applyList(controller);
    controller.start();
    await waitForState(states, "warm");
    while (controller.getEndpoints()[0]?.instance !== "run-2") await letRun();
    expect(controller.getEndpoints()[0]?.state).to.equal("cold");
  });

  it("takes an entry's news of its own run, and spreads them", () => {
    const { controller, states } = openController();
    applyList(controller);
    controller.applyNews({ endpointId: "e-1", instance: "", news: "leaving" });
    expect(states.at(-1)).to.equal("leaving");
    expect(controller.getNews().map(({ state }) => state)).to.include(
      "leaving",
    );
  });

  it("tells of each state once", () => {
    const { controller, states } = openController();
    applyList(controller);
    applyList(controller);
    expect(states).to.deep.equal(["cold"]);
  });
});
