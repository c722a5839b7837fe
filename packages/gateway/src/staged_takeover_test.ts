import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import {
  ForwardHarness,
  type SentCall,
  SILENCE_MS,
  STATUS_INPUTS_MISSING,
} from "./_forward_harness.ts";
import type { StagedInputs } from "./forward.ts";
import { END_REASON } from "./request_scope.ts";

const NEW_INPUTS: StagedInputs = { inputs: ["new"], inputBytes: {} };

function createHarness() {
  const harness = new ForwardHarness({ inputs: ["old"] });
  let handleRerun: (staged: StagedInputs | undefined) => void = () => {};
  let reruns = 0;
  harness.rerunStages = () => {
    reruns += 1;
    return new Promise((resolve) => {
      handleRerun = resolve;
    });
  };
  return {
    harness,
    getReruns: () => reruns,
    /** Ends the stages that run again; undefined if they fail. */
    endRerun: (staged: StagedInputs | undefined) => handleRerun(staged),
  };
}

/** Starts a stream whose endpoint is silent after its first event. */
async function startSilentStream() {
  const stages = createHarness();
  const result = stages.harness.run();
  const [silent] = await stages.harness.waitForCalls(1) as [SentCall];
  silent.begin();
  silent.writeEvent(1);
  await wait(1.5 * SILENCE_MS);
  return { ...stages, result, silent };
}

function finish(call: SentCall, fromId: number): void {
  for (let id = fromId; id <= 3; id++) call.writeEvent(id);
  call.end();
}

describe("takeovers of requests with stages", () => {
  it("are sent with new results, once the stages have run again", async () => {
    const { harness, result, silent, endRerun } = await startSilentStream();
    expect(harness.calls).to.have.length(1);
    endRerun(NEW_INPUTS);
    const [, next] = await harness.waitForCalls(2) as SentCall[];
    expect(next).to.include({ inputs: "new", lastEventId: "1" });
    expect(silent.isCancelled).to.equal(false);
    next!.begin();
    finish(next!, 2);
    expect((await result).kind).to.equal("streamed");
    expect(harness.getDecisions()).to.deep.equal(["rerunStages", "takeOver"]);
  });

  // Stages that could not run again ended a stream that its endpoint went on with.
  it("leave the stream to the silent endpoint when the stages fail", async () => {
    const { harness, result, silent, endRerun, getReruns } =
      await startSilentStream();
    endRerun(undefined);
    await wait(SILENCE_MS);
    finish(silent, 2);
    expect((await result).kind).to.equal("streamed");
    expect(harness.calls).to.have.length(1);
    expect(getReruns()).to.equal(1);
    expect(harness.getDecisions())
      .to.deep.equal(["rerunStages", "inputsReleased"]);
  });

  it("are not sent when the endpoint goes on while stages run", async () => {
    const { harness, result, silent, endRerun } = await startSilentStream();
    silent.writeEvent(2);
    endRerun(NEW_INPUTS);
    await wait(0);
    expect(harness.calls).to.have.length(1);
    finish(silent, 3);
    expect((await result).kind).to.equal("streamed");
  });

  it("resume with the new results when the endpoint breaks off", async () => {
    const { harness, result, silent, endRerun, getReruns } =
      await startSilentStream();
    silent.breakOff();
    await wait(0);
    expect(harness.calls).to.have.length(1);
    endRerun(NEW_INPUTS);
    const [, next] = await harness.waitForCalls(2) as SentCall[];
    expect(next).to.include({ inputs: "new", lastEventId: "1" });
    next!.begin();
    finish(next!, 2);
    expect((await result).kind).to.equal("streamed");
    expect(getReruns()).to.equal(1);
  });

  // The first endpoint's late refusal counted as a second loss of results.
  it("use results that were made anew when the silent endpoint misses its own", async () => {
    const { harness, endRerun, getReruns } = createHarness();
    const result = harness.run();
    const [silent, refusing] = await harness.waitForCalls(2) as SentCall[];
    refusing!.refuse(STATUS_INPUTS_MISSING);
    await wait(0);
    silent!.refuse(STATUS_INPUTS_MISSING);
    endRerun(NEW_INPUTS);
    const [, , next] = await harness.waitForCalls(3) as SentCall[];
    expect(next!.inputs).to.equal("new");
    next!.begin();
    finish(next!, 1);
    expect((await result).kind).to.equal("streamed");
    expect(getReruns()).to.equal(1);
  });

  // An error in a timer would end the process, and with it all its requests.
  it("fail their request only when the gateway has an error", async () => {
    const harness = new ForwardHarness({ inputs: ["old"] });
    harness.rerunStages = () => Promise.reject(new Error("no stages"));
    const result = harness.run().catch(String);
    const [silent] = await harness.waitForCalls(1) as [SentCall];
    silent.begin();
    silent.writeEvent(1);
    expect(await result).to.equal("Error: no stages");
    harness.scope.end(END_REASON.done);
    expect(silent.isCancelled).to.equal(true);
  });

  it("run the stages again when an endpoint misses their results", async () => {
    const { harness, endRerun } = createHarness();
    const result = harness.run();
    const [, refusing] = await harness.waitForCalls(2) as SentCall[];
    refusing!.refuse(STATUS_INPUTS_MISSING);
    await wait(0);
    endRerun(NEW_INPUTS);
    const [, , next] = await harness.waitForCalls(3) as SentCall[];
    expect(next).to.include({
      inputs: "new",
      endpointId: refusing!.endpointId,
      mayUseEarlier: false,
    });
    next!.begin();
    finish(next!, 1);
    expect((await result).kind).to.equal("streamed");
  });
});
