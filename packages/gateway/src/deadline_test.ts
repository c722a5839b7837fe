import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import { ForwardHarness } from "./_forward_harness.ts";

const TIMEOUT_MS = 100;
const EVENT_GAP_MS = 10;

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
      const end = { events: 1, lastEventId: "1", framing: "chunks" };
      expect(await result)
        .to.deep.equal({ kind: "ended", mayHaveRun: true, end });
      expect(harness.scope.endedBy).to.equal("timedOut");
      expect(harness.isStreamEnded).to.equal(false);
      expect(harness.events).to.deep.equal(["1 e0"]);
    });
  }

  // A part of a plain answer passed for the whole one.
  it("does not take the last chunk of a plain answer for its end", async () => {
    const { result, call } = await startLate({ kind: "atMostOnce" });
    call.end();
    expect(await result)
      .to.deep.equal({
        kind: "ended",
        mayHaveRun: true,
        end: { framing: "chunks" },
      });
  });

  // An endpoint whose timer was early passed for one that was done.
  it("counts the time that the endpoint was handed from its send", async () => {
    const harness = new ForwardHarness({ route: { timeoutMs: TIMEOUT_MS } });
    const result = harness.run();
    const [call] = await harness.waitForCalls(1);
    call!.begin();
    call!.writeEvent(1);
    const sent = harness.lines.find(({ event }) => event === "request_sent");
    const stopsAt = call!.at + Number(sent!.leftMs);
    while (performance.now() < stopsAt - 1);
    call!.end();
    expect((await result).kind).to.equal("ended");
  });

  // A resumed stream that was done in time passed for one that was cut off.
  it("counts the time of a resume from its own send", async () => {
    const harness = new ForwardHarness({ route: { timeoutMs: 2_000 } });
    const result = harness.run();
    const [first] = await harness.waitForCalls(1);
    first!.begin();
    let lastId = 0;
    // More than half of the time, without a pause that lets another take over.
    while (harness.scope.ageMs < 1_100) {
      first!.writeEvent(++lastId);
      await wait(EVENT_GAP_MS);
    }
    first!.breakOff();
    const [, second] = await harness.waitForCalls(2);
    second!.begin();
    second!.writeEvent(lastId + 1);
    await wait(TIMEOUT_MS);
    second!.end();
    expect((await result).kind).to.equal("streamed");
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
    expect(await result)
      .to.deep.equal({ kind: "ended", mayHaveRun: false, end: undefined });
    expect(harness.calls).to.have.length(1);
  });
});
