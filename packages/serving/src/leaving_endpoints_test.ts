import { expect } from "chai";
import { buildEndpoint } from "./_fixtures.ts";
import { LeavingEndpoints } from "./leaving_endpoints.ts";

describe("LeavingEndpoints", () => {
  it("keeps an announcement until the endpoint restarts", () => {
    const leaving = new LeavingEndpoints();
    const announced = { endpointId: "e1", bornMs: 7 };
    expect(leaving.record(announced, 0)).to.equal(true);
    expect(leaving.record(announced, 0)).to.equal(false);
    expect(leaving.has(buildEndpoint("e1", { bornMs: 7 }))).to.equal(true);
    expect(leaving.has(buildEndpoint("e1", { bornMs: 8 }))).to.equal(false);
    expect(leaving.has(buildEndpoint("e2", { bornMs: 7 }))).to.equal(false);
  });

  // An answer of the earlier process may arrive after the restart is known.
  it("ignores an announcement of an earlier process", () => {
    const leaving = new LeavingEndpoints();
    leaving.record({ endpointId: "e1", bornMs: 8 }, 0);
    expect(leaving.record({ endpointId: "e1", bornMs: 7 }, 0)).to.equal(false);
    expect(leaving.has(buildEndpoint("e1", { bornMs: 8 }))).to.equal(true);
  });
});
