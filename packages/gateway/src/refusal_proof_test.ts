import * as serving from "@sardinestep/serving";
import { expect } from "chai";
import { ForwardHarness } from "./_forward_harness.ts";

const ROUTES = {
  "may run once": { kind: serving.ROUTE_KIND.atMostOnce },
  "may not be resumed": { isResumable: false, maxAttempts: 1 },
} as const;

// A copy of an answer that was due to another call passed for a request's refusal.
describe("an answer without the request's id", () => {
  for (const [name, route] of Object.entries(ROUTES)) {
    it(`is no refusal on a connection that was used before (${name})`, async () => {
      const harness = new ForwardHarness({
        route,
        hasNoIds: true,
        areConnectionsReused: true,
      });
      const result = harness.run();
      const [call] = await harness.waitForCalls(1);
      call!.refuse();
      expect(await result).to.deep.include({ kind: "failure" });
      expect((await result as { failure: unknown }).failure)
        .to.include({ code: "OUTCOME_UNKNOWN", outcome: "unknown" });
      expect(harness.calls).to.have.length(1);
    });

    it(`refuses on a connection that carried nothing else (${name})`, async () => {
      const harness = new ForwardHarness({ route, hasNoIds: true });
      const result = harness.run();
      const [call] = await harness.waitForCalls(1);
      call!.refuse();
      expect(call!.mayReuse()).to.equal(false);
      await harness.waitForCalls(2);
      for (const next of harness.calls.slice(1)) next.refuse();
      (await harness.waitForCalls(3))[2]!.refuse();
      expect((await result as { failure: unknown }).failure)
        .to.include({ code: "STAGE_UNAVAILABLE", outcome: "not run" });
    });
  }
});
