import { expect } from "chai";
import { ForwardHarness, type SentCall } from "./_forward_harness.ts";

/** Builds events that name the endpoint that sends them. */
function buildEvents(ids: readonly number[], endpointId: string): string {
  return ids.map((id) => `id: ${id}\ndata: ${endpointId}\n\n`).join("");
}

/** Starts a stream whose endpoint sends ids in one chunk, and ends it in order. */
async function startStream(
  ids: readonly number[],
  options: ConstructorParameters<typeof ForwardHarness>[0] = {},
) {
  const harness = new ForwardHarness(options);
  const result = harness.run();
  const [first] = await harness.waitForCalls(1) as [SentCall];
  first.begin();
  first.write(buildEvents(ids, "e0"));
  first.end();
  return { harness, result, first };
}

describe("streams with an event out of order", () => {
  it("go on after the last good event, elsewhere", async () => {
    const { harness, result, first } = await startStream([1, 2, 2, 3]);
    expect(first.isCancelled).to.equal(true);
    const [, next] = await harness.waitForCalls(2) as SentCall[];
    expect(next).to.include({ endpointId: "e1", lastEventId: "2" });
    next!.begin();
    next!.write(buildEvents([3], "e1"));
    next!.end();
    expect((await result).kind).to.equal("streamed");
    expect(harness.events).to.deep.equal(["1 e0", "2 e0", "3 e1"]);
    expect(harness.evidence).to.deep.equal(["e0 broken", "e1 good"]);
    expect(harness.recordedOutcomes).to.deep.equal(["e0 lost", "e1 streamed"]);
    expect(harness.lines.find(({ event }) => event === "stream_resumed"))
      .to.include({
        lastEventId: "2",
        reason: 'Event id "2" does not follow "2"',
      });
  });

  it("are cut if they can't be resumed", async () => {
    const { harness, result } = await startStream([1, 2, 1], {
      route: { isResumable: false },
    });
    expect(await result).to.include({ kind: "brokenOff" });
    expect((await result as { reason?: string }).reason)
      .to.include('Event id "1" does not follow "2"');
    expect(harness.events).to.deep.equal(["1 e0", "2 e0"]);
    expect(harness.evidence).to.deep.equal(["e0 broken"]);
    expect(harness.calls).to.have.length(1);
  });

  it("are cut if a resume begins anew as well", async () => {
    const { harness, result } = await startStream([1, 2, 2]);
    const [, next] = await harness.waitForCalls(2) as SentCall[];
    next!.begin();
    next!.write(buildEvents([1, 2, 3], "e1"));
    next!.end();
    expect(await result).to.include({ kind: "brokenOff" });
    expect(harness.events).to.deep.equal(["1 e0", "2 e0"]);
    expect(harness.evidence).to.deep.equal(["e0 broken", "e1 broken"]);
  });

  // The caller reads slowly, and the good events wait for it.
  it("go on although their caller has not read the good events", async () => {
    const harness = new ForwardHarness();
    harness.isReading = false;
    const result = harness.run();
    const [first] = await harness.waitForCalls(1) as [SentCall];
    first.begin();
    first.write(buildEvents([1, 1], "e0"));
    const [, next] = await harness.waitForCalls(2) as SentCall[];
    harness.drain();
    next!.begin();
    next!.write(buildEvents([2], "e1"));
    next!.end();
    expect((await result).kind).to.equal("streamed");
    expect(harness.events).to.deep.equal(["1 e0", "2 e1"]);
  });

  it("stay at a silent endpoint if its takeover begins anew", async () => {
    const harness = new ForwardHarness();
    const result = harness.run();
    const [silent] = await harness.waitForCalls(1) as [SentCall];
    silent.begin();
    silent.write(buildEvents([1], "e0"));
    const [, next] = await harness.waitForCalls(2) as SentCall[];
    next!.begin();
    next!.write(buildEvents([1, 2], "e1"));
    expect([silent.isCancelled, next!.isCancelled])
      .to.deep.equal([false, true]);
    silent.write(buildEvents([2], "e0"));
    silent.end();
    expect((await result).kind).to.equal("streamed");
    expect(harness.events).to.deep.equal(["1 e0", "2 e0"]);
  });
});
