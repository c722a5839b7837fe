import * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import * as serving from "@sardinestep/serving";
import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import { EndpointTracker } from "./endpoint_tracker.ts";
import { PROCESS_STATE } from "./http_pool.ts";
import type { Rollouts } from "./rollouts.ts";
import { SiteState } from "./site_state.ts";

const ENDPOINT: serving.ServingEndpoint = {
  id: "e1",
  service: "engine",
  address: "10.0.0.1:1",
  zone: "zone-a",
  slots: 64,
  isDraining: false,
  coldMs: 0,
};
const SERVICE: serving.ServiceSpec = {
  name: "engine",
  healthPath: "/",
  coldStartMs: 3_000,
  coldPerSecond: 12,
};
const COLD_LIMIT: serving.ColdLimit = { overrun: 1.5, slack: 5 };

describe("EndpointTracker", () => {
  let site: SiteState;
  let tracker: EndpointTracker;
  let createTracker: (startedAt?: number) => EndpointTracker;

  beforeEach(() => {
    const output = { writableLength: 0, write: () => true };
    const events = new logger.EventLog({
      process: "test",
      vmId: "vm-1",
      output,
    });
    site = new SiteState(events);
    createTracker = (startedAt) =>
      new EndpointTracker({
        site,
        rollouts: {} as Rollouts,
        events,
        vmId: "vm-1",
        coldLimit: COLD_LIMIT,
        isRelayed: () => false,
        checkPath: () => {},
        callLender: () => Promise.resolve(undefined),
        checkProcess: () => Promise.resolve(PROCESS_STATE.running),
        metrics: new metrics.Metrics({ prefix: "test" }),
        startedAt,
      });
    tracker = createTracker(-Infinity);
  });

  function sendAll(requests: number): number {
    let sent = 0;
    for (let i = 0; i < requests; i++) {
      if (tracker.getCandidates(SERVICE, [ENDPOINT]).length === 0) continue;
      tracker.recordStart(ENDPOINT);
      sent += 1;
    }
    return sent;
  }

  // The process before had used the VM's share of the same second.
  it("limits requests to cold endpoints across a restart", async () => {
    tracker.recordCold(ENDPOINT, 3_000);
    const before = sendAll(50);
    tracker = createTracker();
    tracker.recordCold(ENDPOINT, 3_000);
    expect(before + sendAll(50)).to.be.within(1, 23);
    await wait(serving.COLD_WINDOW_MS);
    expect(sendAll(50)).to.be.within(1, 23);
  });

  // Requests counted only once the endpoint was known to be cold.
  it("limits requests to endpoints of a zone that has just returned", () => {
    site.setZoneOut("zone-a", true, "registry");
    site.setZoneOut("zone-a", false, "registry");
    expect(sendAll(50)).to.be.within(1, 23);
  });

  it("counts requests that were sent just before an endpoint is known to be cold", () => {
    const before = sendAll(10);
    tracker.recordCold(ENDPOINT, 3_000);
    expect(before).to.equal(10);
    expect(before + sendAll(50)).to.be.at.most(23);
  });
});
