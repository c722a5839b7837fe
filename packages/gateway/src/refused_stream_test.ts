import * as takeover from "@sardinestep/takeover";
import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import {
  ForwardHarness,
  type ForwardHarnessOptions,
  type SentCall,
} from "./_forward_harness.ts";
import { END_REASON } from "./request_scope.ts";

/** Starts a stream that breaks off and that all other endpoints refuse. */
async function startRefusedStream(
  options: ForwardHarnessOptions = {},
  status = 503,
) {
  const harness = new ForwardHarness(options);
  const result = harness.run();
  const [lost] = await harness.waitForCalls(1) as [SentCall];
  lost.begin();
  lost.writeEvent(1);
  lost.breakOff();
  for (let i = 1; i <= takeover.MAX_REFUSALS; i++) {
    (await harness.waitForCalls(i + 1))[i]!.refuse(status);
  }
  return { harness, result };
}

describe("streams that lost their endpoint", () => {
  // Three refusals of full endpoints ended a stream.
  it("go on once a full endpoint takes them", async () => {
    const { harness, result } = await startRefusedStream();
    const next = (await harness.waitForCalls(5)).at(-1)!;
    expect(next).to.include({ endpointId: "e1", lastEventId: "1" });
    // A late copy of a refusal would pass for the answer.
    expect(harness.calls.some(({ mayUseEarlier }) => mayUseEarlier))
      .to.equal(false);
    next.begin();
    for (const id of [2, 3]) next.writeEvent(id);
    next.end();
    expect((await result).kind).to.equal("streamed");
    expect(harness.events).to.deep.equal(["1 e0", "2 e1", "3 e1"]);
  });

  // The refusals are due on the same connection, with the same request id.
  for (const status of [421, 429]) {
    it(`are sent again on another connection after status ${status}`, async () => {
      const { harness } = await startRefusedStream({}, status);
      const calls = await harness.waitForCalls(5);
      expect(calls.some(({ mayUseEarlier }) => mayUseEarlier)).to.equal(false);
      harness.scope.end(END_REASON.callerDisconnected);
    });
  }

  for (const reason of Object.values(END_REASON)) {
    if (reason === END_REASON.done) continue;
    it(`are not sent again after their end: ${reason}`, async () => {
      const { harness, result } = await startRefusedStream();
      await wait(0);
      harness.scope.end(reason);
      const isStopping = reason === END_REASON.stopping;
      expect((await result).kind).to.equal(isStopping ? "brokenOff" : "ended");
      await wait(1.5 * takeover.RESUME_PAUSE_MS);
      expect(harness.calls).to.have.length(4);
    });
  }

  it("wait while the retry budget is used up", async () => {
    const { harness } = await startRefusedStream({ retries: 3 });
    await wait(1.5 * takeover.RESUME_PAUSE_MS);
    expect(harness.calls).to.have.length(4);
    harness.scope.end(END_REASON.callerDisconnected);
  });

  it("end at once where no other endpoint has their version", async () => {
    const harness = new ForwardHarness({ versions: ["v1", "v2"] });
    const result = harness.run();
    const [lost] = await harness.waitForCalls(1) as [SentCall];
    lost.begin();
    lost.writeEvent(1);
    lost.breakOff();
    expect(await result).to.include({ kind: "brokenOff" });
  });
});
