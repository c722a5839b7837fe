import { expect } from "chai";
import { buildEndpoint } from "./_fixtures.ts";
import { EndpointPauses } from "./endpoint_pauses.ts";

const ENDPOINT = buildEndpoint("e1", { bornMs: 7 });

describe("EndpointPauses", () => {
  it("lasts as long as the longest request, and starts once", () => {
    const pauses = new EndpointPauses();
    expect(pauses.record(ENDPOINT, { pauseMs: 3_000, now: 0 })).to.equal(true);
    expect(pauses.record(ENDPOINT, { pauseMs: 500, now: 100 })).to.equal(false);
    expect(pauses.getWaitMs(ENDPOINT, 1_000)).to.equal(2_000);
    pauses.record(ENDPOINT, { pauseMs: 3_000, now: 2_000 });
    expect(pauses.getWaitMs(ENDPOINT, 3_000)).to.equal(2_000);
    expect(pauses.getWaitMs(ENDPOINT, 5_000)).to.equal(0);
  });

  it("ends with a restart of the endpoint, not with one that is over", () => {
    const pauses = new EndpointPauses();
    const restarted = buildEndpoint("e1", { bornMs: 8 });
    pauses.record(ENDPOINT, { pauseMs: 3_000, now: 0 });
    expect(pauses.getWaitMs(restarted, 0)).to.equal(0);
    pauses.record(restarted, { pauseMs: 2_000, now: 0 });
    expect(pauses.record(ENDPOINT, { pauseMs: 9_000, now: 0 })).to.equal(false);
    expect(pauses.getWaitMs(restarted, 0)).to.equal(2_000);
  });

  it("is forgotten when it has ended", () => {
    const pauses = new EndpointPauses();
    pauses.record(ENDPOINT, { pauseMs: 1_000, now: 0 });
    pauses.dropEnded(500);
    expect(pauses.getWaitMs(ENDPOINT, 500)).to.equal(500);
    pauses.dropEnded(1_000);
    expect(pauses.getWaitMs(ENDPOINT, 500)).to.equal(0);
  });
});
