import type { StageCall } from "@sardinestep/ports";
import { expectSnapshot } from "@sardinestep/testing";
import { buildRunRequest } from "./requests.ts";

const CALL: StageCall = {
  endpointId: "e-1",
  role: "service",
  address: "127.0.0.1:1",
  callId: "call/1",
  operation: "issue ticket",
  key: "key-1",
  input: { load: "spruce" },
  priority: 3,
  progressTimeoutMs: 1000,
  freshConnection: false,
};

describe("requests to endpoints", () => {
  it("follow the published formats", function () {
    expectSnapshot(this, {
      service: buildRunRequest(CALL),
      serviceWithoutKey: buildRunRequest({ ...CALL, key: undefined }),
      encoder: buildRunRequest({ ...CALL, role: "encoder" }),
      generator: buildRunRequest({ ...CALL, role: "generator" }),
    });
  });
});
