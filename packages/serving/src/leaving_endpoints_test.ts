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

  it("is kept beyond the record only if a restart can be recognized", () => {
    const leaving = new LeavingEndpoints();
    leaving.record({ endpointId: "e1", bornMs: 7 }, 0);
    leaving.record({ endpointId: "e2" }, 0);
    leaving.keep(new Set(["e2"]), 100);
    expect(leaving.has(buildEndpoint("e2", { bornMs: undefined }))).to.equal(
      true,
    );
    leaving.keep(new Set(), 200);
    expect(leaving.has(buildEndpoint("e1", { bornMs: 7 }))).to.equal(true);
    expect(leaving.has(buildEndpoint("e2", { bornMs: undefined }))).to.equal(
      false,
    );
  });
});
