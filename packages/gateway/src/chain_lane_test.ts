import * as serving from "@sardinestep/serving";
import { expect } from "chai";
import {
  buildLoad,
  ChainHarness,
  FULL_CALL_MS,
  ROUTE,
} from "./_chain_harness.ts";
import { runRequest } from "./request_flow.ts";

/** Runs the admission of one request and returns its log line. */
async function runAdmission(harness: ChainHarness, deadlineMs?: number) {
  const { request, deps } = harness.createRequest(deadlineMs);
  // The request ends after its admission.
  harness.runPieces = () =>
    Promise.resolve({ kind: "late", waitedMs: 0 } as serving.PieceOutcome);
  await runRequest(deps, request).catch(() => {});
  return harness.lines.find(({ event }) => event === "request_admitted")!;
}

describe("admission of a chain", () => {
  it("logs lane and margin of a request on time", async () => {
    const line = await runAdmission(new ChainHarness());
    expect(line).to.include({
      decision: "admitted",
      lane: "onTime",
      marginMs: 0,
      expectedMs: 3 * FULL_CALL_MS + 150,
    });
  });

  it("defers a request that is late and can be answered", async () => {
    const harness = new ChainHarness();
    harness.loads.set("b", buildLoad(900, 900));
    const line = await runAdmission(harness);
    expect(line).to.include({ decision: "admitted", lane: "deferred" });
  });

  // Guards against late refusals: what can't be answered is refused on arrival.
  it("refuses at once what can't be answered, with a time to return", async () => {
    const harness = new ChainHarness();
    harness.loads.set("b", buildLoad(900, 1_900));
    const line = await runAdmission(harness);
    expect(line).to.include({ decision: "refused", lane: "refused" });
    expect(harness.groups).to.have.length(0);
    const [failure] = harness.failures;
    expect(failure).to.include({ code: "QUEUE_FULL" });
    expect(failure!.retryAfterMs).to.be.within(300, ROUTE.timeoutMs / 3);
    expect(harness.state.ahead.getMs("b\0*")).to.equal(0);
  });

  // Guards against a second refusal of a caller who can still be answered.
  it("accepts a return behind a queue that refuses first attempts", async () => {
    const harness = new ChainHarness();
    harness.loads.set("b", buildLoad(1_500, 1_500));
    const line = await runAdmission(harness, 3_500);
    expect(line).to.include({ isReturn: true, lane: "deferred" });
  });

  // Guards against refusals by a VM whose pool has lost its leader and its reports.
  it("admits requests without load reports", async () => {
    const harness = new ChainHarness();
    harness.loads.set("b", serving.UNKNOWN_LOAD);
    expect(await runAdmission(harness)).to.include({ lane: "onTime" });
  });

  // Guards against bursts that find later pools idle because no report has them yet.
  it("counts work that was admitted and isn't queued", async () => {
    const harness = new ChainHarness();
    harness.loads.set("c", buildLoad(0, 0));
    harness.state.ahead.add(`c\0${serving.WHOLE_POOL}`, 2_000);
    expect(await runAdmission(harness)).to.include({ lane: "deferred" });
  });

  // Guards against new behaviour at deployments that don't call for it.
  it("decides as before where the site isn't contended", async () => {
    const harness = new ChainHarness();
    harness.isContended = false;
    harness.loads.set("b", buildLoad(900, 900));
    const line = await runAdmission(harness);
    expect(line).to.include({ decision: "refused", expectedMs: 1_710 });
    expect(line).to.not.have.any.keys("lane", "marginMs");
  });
});
