import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import {
  buildLoad,
  ChainHarness,
  FULL_CALL_MS,
  ROUTE,
} from "./_chain_harness.ts";
import { END_REASON } from "./request_scope.ts";

/** Teaches a VM that first events take a time after the last stage. */
function recordFirstEvents(harness: ChainHarness, actualMs: number): void {
  for (let i = 0; i < 50; i++) {
    harness.state.errors.recordError({
      route: ROUTE.name,
      stage: 2,
      predictedMs: 150,
      isOnTime: true,
      isLast: true,
    }, actualMs);
  }
}

describe("StageRun of a contended site", () => {
  // Guards against due times that leave less time than first events take.
  it("sets due times with full calls, learned first events and margin", async () => {
    const harness = new ChainHarness();
    recordFirstEvents(harness, 400);
    const { run, scope } = harness.createRun();
    expect((await run.run()).kind).to.equal("made");
    const [first, , last] = harness.groups;
    const firstEventMs = harness.state.errors.getFirstEventMs(ROUTE.name)!;
    const marginMs = harness.state.errors
      .getMarginMs(ROUTE.name, 2, ROUTE.objectiveMs);
    expect(firstEventMs).to.be.within(370, 430);
    expect(marginMs).to.be.within(230, 270);
    const getDueMs = (group = first!) => group.dueAt - scope.startedAt;
    expect(getDueMs()).to.be.closeTo(
      ROUTE.objectiveMs - 3 * FULL_CALL_MS - firstEventMs,
      1e-6,
    );
    expect(getDueMs(last)).to.be.closeTo(
      ROUTE.objectiveMs - FULL_CALL_MS - firstEventMs - marginMs,
      1e-6,
    );
  });

  // Guards against late refusals of requests that were accepted.
  it("keeps accepted requests queued while their caller can be reached", async () => {
    const harness = new ChainHarness();
    await harness.createRun().run.run();
    await harness.createRun({ isReturn: true }).run.run();
    expect(harness.groups).to.have.length(6);
    for (const { giveUpAt, expiresAt, customer } of harness.groups) {
      expect(giveUpAt).to.equal(expiresAt);
      expect(customer).to.equal("customer-1");
    }
  });

  it("gives up groups as before where the site isn't contended", async () => {
    const harness = new ChainHarness();
    harness.isContended = false;
    const { run } = harness.createRun();
    await run.run();
    const [first] = harness.groups;
    expect(first!.giveUpAt).to.be.below(first!.expiresAt);
  });

  // Guards against results that were released or lost and are sent once more.
  it("makes new results when it runs again after it was done", async () => {
    const harness = new ChainHarness();
    const { run } = harness.createRun();
    const outcomes = [await run.run()];
    run.release();
    outcomes.push(await run.run());
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal(["made", "made"]);
    const stages = harness.groups.map(({ stage }) => stage);
    expect(stages).to.deep.equal([0, 1, 2, 0, 1, 2]);
  });

  it("learns from the first event after the results", async () => {
    const harness = new ChainHarness();
    for (let i = 0; i < 8; i++) {
      const { run, scope, stageForecast } = harness.createRun();
      await run.run();
      stageForecast.recordFirstEvent(scope.ageMs + 400);
    }
    const { errors } = harness.state;
    expect(errors.getFirstEventMs(ROUTE.name)).to.be.within(370, 440);
    // The wait of 500 ms for later stages was predicted and didn't happen.
    expect(errors.getMarginMs(ROUTE.name, 0, ROUTE.objectiveMs)).to.be.below(
      21,
    );
    expect(errors.getMarginMs(ROUTE.name, 2, ROUTE.objectiveMs))
      .to.be.within(200, 300);
  });

  // Guards against queues that raise the margin although reports announce them.
  it("doesn't learn reported waits as errors", async () => {
    const harness = new ChainHarness();
    harness.loads.set("b", buildLoad(400, 400));
    for (let i = 0; i < 8; i++) {
      const { run, scope, stageForecast } = harness.createRun();
      await run.run();
      stageForecast.recordFirstEvent(scope.ageMs + 900);
    }
    const marginMs = harness.state.errors.getMarginMs(ROUTE.name, 0, 1_600);
    expect(marginMs).to.be.below(21);
  });

  // Guards against forecasts of a run whose results were lost, e.g. by a crash of the
  // endpoint that kept them: they would count the repeated stages as errors.
  it("learns only from the last run when stages run again", async () => {
    const harness = new ChainHarness();
    const make = harness.runPieces;
    for (let i = 0; i < 8; i++) {
      let isLost = false;
      harness.runPieces = async (group) => {
        if (group.stage !== 1 || isLost) return await make(group);
        isLost = true;
        await wait(120);
        return { kind: "inputGone" };
      };
      const { run, scope, stageForecast } = harness.createRun();
      await run.run();
      const ageMs = scope.ageMs;
      stageForecast.recordFirstEvent(ageMs + 3 * FULL_CALL_MS);
    }
    const marginMs = harness.state.errors.getMarginMs(ROUTE.name, 0, 1_600);
    expect(marginMs).to.be.within(80, 130);
  });

  // Guards against work of callers who left, which would refuse others for ever.
  it("counts no work ahead once a request has ended", async () => {
    const harness = new ChainHarness();
    harness.runPieces = () => new Promise(() => {});
    const { run, scope, stageForecast } = harness.createRun();
    stageForecast.addAhead(0, run.getPoolKey(0), 100);
    stageForecast.addAhead(1, run.getPoolKey(1), 100);
    const outcome = run.run();
    expect(harness.state.ahead.getMs(run.getPoolKey(0))).to.equal(0);
    expect(harness.state.ahead.getMs(run.getPoolKey(1))).to.equal(100);
    scope.end(END_REASON.callerDisconnected);
    expect((await outcome).kind).to.equal("ended");
    run.release();
    expect(harness.state.ahead.getMs(run.getPoolKey(1))).to.equal(0);
  });
});
