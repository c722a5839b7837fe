import * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import { expect } from "chai";
import type { Connector } from "@sardinestep/endpoint_paths";
import { EndpointReach } from "./endpoint_reach.ts";
import { SiteState } from "./site_state.ts";

const ENDPOINT = {
  id: "e1",
  service: "engine",
  address: "10.0.0.1:1",
  zone: "zone-a",
  slots: 8,
  isDraining: false,
  coldMs: 0,
};

describe("EndpointReach", () => {
  // One entry stayed for each endpoint whose request had broken.
  it("forgets the checks of endpoints that are gone", () => {
    const events = new logger.EventLog({
      process: "test",
      vmId: "vm-1",
      output: { writableLength: 0, write: () => true },
    });
    const site = new SiteState(events);
    let handshakes = 0;
    const reach = new EndpointReach({
      connect: ((_options, callback) => {
        handshakes += 1;
        callback(new Error("unreachable"), null);
      }) as Connector,
      site,
      events,
      metrics: new metrics.Metrics({ prefix: "test" }),
      getPeers: () => [],
      isLeaving: () => false,
      isStopping: () => false,
      handleLost: () => {},
      handleFound: () => {},
    });
    site.updateEndpoint(ENDPOINT, 1);
    for (let i = 0; i < 2; i++) reach.checkPath(ENDPOINT);
    expect(handshakes).to.equal(1);
    site.removeEndpoint(ENDPOINT.id, 2);
    reach.update();
    site.updateEndpoint(ENDPOINT, 3);
    reach.checkPath(ENDPOINT);
    expect(handshakes).to.equal(2);
  });
});
