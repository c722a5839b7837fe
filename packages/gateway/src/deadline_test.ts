import { expect } from "chai";
import { ForwardHarness } from "./_forward_harness.ts";

const TIMEOUT_MS = 100;

/** Starts a request whose first event has arrived when its time is up. */
async function startLate(
  route: { isResumable?: boolean; kind?: "atMostOnce" },
) {
  const harness = new ForwardHarness({
    route: { timeoutMs: TIMEOUT_MS, ...route },
  });
  const result = harness.run();
  const [call] = await harness.waitForCalls(1);
  call!.begin();
  call!.writeEvent(1);
  harness.passDeadline();
  return { harness, result, call: call! };
}

describe("answers that end when the time of their request is up", () => {
  for (const isResumable of [true, false]) {
    const kind = isResumable ? "resumable" : "other";
    // A worker that stopped at its deadline passed for one that was done.
    it(`does not take the last chunk of ${kind} streams for their end`, async () => {
      const { harness, result, call } = await startLate({ isResumable });
      call.end();
      expect((await result).kind).to.equal("ended");
      expect(harness.scope.endedBy).to.equal("timedOut");
      expect(harness.isStreamEnded).to.equal(false);
      expect(harness.events).to.deep.equal(["1 e0"]);
    });
  }

  // A part of a plain answer passed for the whole one.
  it("does not take the last chunk of a plain answer for its end", async () => {
    const { result, call } = await startLate({ kind: "atMostOnce" });
    call.end();
    expect(await result).to.deep.equal({ kind: "ended", mayHaveRun: true });
  });

  it("takes a plain answer with a length", async () => {
    const { result, call } = await startLate({ kind: "atMostOnce" });
    call.end("length");
    expect((await result).kind).to.equal("answered");
  });

  // An endpoint was sent a request for which no time was left.
  it("sends a stream that broke off late to no other endpoint", async () => {
    const { harness, result, call } = await startLate({ isResumable: true });
    call.breakOff();
    expect((await result).kind).to.equal("ended");
    expect(harness.calls).to.have.length(1);
  });

  it("sends a refused request to no other endpoint", async () => {
    const harness = new ForwardHarness({ route: { timeoutMs: TIMEOUT_MS } });
    const result = harness.run();
    const [call] = await harness.waitForCalls(1);
    harness.passDeadline();
    call!.refuse();
    expect(await result).to.deep.equal({ kind: "ended", mayHaveRun: false });
    expect(harness.calls).to.have.length(1);
  });
});
