import type * as serving from "@sardinestep/serving";
import { expect } from "chai";
import {
  type EndpointChoiceDependencies,
  pickRequestEndpoint,
} from "./endpoint_choice.ts";
import { EndpointSpeeds } from "./endpoint_speeds.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";

const SERVICE = "engine";
const ENDPOINTS = ["e0", "e1", "e2", "e3"];

function buildCandidates(): serving.PlacementCandidate[] {
  return ENDPOINTS.map((id) => ({
    id,
    zone: "a",
    slots: 32,
    inFlight: 0,
    isAvoided: false,
  }));
}

function createSite(isContended: boolean) {
  const speeds = new EndpointSpeeds();
  const tracker: Partial<EndpointTracker> = {
    speeds,
    getCandidates: buildCandidates,
    find: (id) => ({ id }) as serving.ServingEndpoint,
  };
  const deps: EndpointChoiceDependencies = {
    endpointTracker: tracker as EndpointTracker,
    zone: "a",
    isContended: () => isContended,
  };
  const table = { services: new Map() } as unknown as serving.RouteTable;
  const pick = (requestId: string, session?: serving.PromptPart) =>
    pickRequestEndpoint(
      deps,
      { service: SERVICE, table, session, requestId },
      { endpoints: [], inputBytes: {}, tried: new Set() },
    )?.id;
  const reportAll = (slowdown: (id: string) => number) => {
    for (const id of ENDPOINTS) {
      const load = { running: 0, waiting: 0, slots: 32 };
      const now = performance.now();
      speeds.recordLoad(id, { ...load, slowdown: slowdown(id) }, now);
    }
  };
  return { speeds, pick, reportAll };
}

const REQUESTS = Array.from({ length: 200 }, (_, i) => `r${i}`);

describe("pickRequestEndpoint", () => {
  it("avoids a slowed endpoint on a contended site, and spreads the others", () => {
    const { pick, reportAll } = createSite(true);
    reportAll((id) => id === "e0" ? 2.5 : 1);
    const picked = REQUESTS.map((id) => pick(id));
    expect(picked.filter((id) => id === "e0")).to.have.length(0);
    for (const id of ["e1", "e2", "e3"]) {
      expect(picked.filter((other) => other === id).length)
        .to.be.greaterThan(40);
    }
  });

  // Guards the promise that other sites are served as before.
  it("ignores speeds on a site that is not contended", () => {
    const { pick, reportAll } = createSite(false);
    const before = REQUESTS.map((id) => pick(id));
    reportAll((id) => id === "e0" ? 2.5 : 1);
    expect(REQUESTS.map((id) => pick(id))).to.deep.equal(before);
  });

  it("moves a session with a short prompt only while its endpoint is slowed", () => {
    const { pick, reportAll } = createSite(true);
    const session = { id: "s1", tokens: 500 };
    reportAll(() => 1);
    const home = pick("r1", session);
    reportAll((id) => id === home ? 2.5 : 1);
    const moved = pick("r2", session);
    expect(moved).not.to.equal(home);
    expect(pick("r3", session)).to.equal(moved);
    expect(pick("r4", { id: "s1", tokens: 50_000 })).to.equal(home);
    reportAll(() => 1);
    expect(pick("r5", session)).to.equal(home);
  });
});

describe("EndpointSpeeds", () => {
  // Failure: an endpoint reports a load, but figures of its speed that can't be true.
  it("does not make a site contended by a wrong figure", () => {
    const { speeds, reportAll } = createSite(true);
    reportAll(() => 0);
    expect(speeds.hasReports).to.equal(false);
    reportAll(() => 1);
    expect(speeds.hasReports).to.equal(true);
  });

  // Failure: an endpoint never reports its load; requests that ended must not count.
  it("does not count requests without a report as load", () => {
    const { speeds, pick } = createSite(true);
    for (let i = 0; i < 1_000; i++) speeds.recordSend("e0");
    const picked = REQUESTS.map((id) => pick(id));
    expect(picked.filter((id) => id === "e0").length).to.be.greaterThan(10);
  });

  it("learns the usual time to the first event from the expected slowdown", () => {
    const { speeds } = createSite(true);
    const endpoint = { id: "e0", service: SERVICE } as serving.ServingEndpoint;
    for (let i = 0; i < 200; i++) speeds.recordFirstEvent(endpoint, 120, 2);
    expect(speeds.getUsualMs(SERVICE)).to.be.closeTo(60, 1);
  });
});
