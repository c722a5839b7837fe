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
    for (const areConnectionsReused of [false, true]) {
      const connection = areConnectionsReused ? "a kept" : "a new";
      it(`is no refusal on ${connection} connection (${name})`, async () => {
        const harness = new ForwardHarness({
          route,
          hasNoIds: true,
          areConnectionsReused,
        });
        const result = harness.run();
        const [call] = await harness.waitForCalls(1);
        call!.refuse();
        expect(await result).to.deep.include({ kind: "failure" });
        expect((await result as { failure: unknown }).failure)
          .to.include({ code: "OUTCOME_UNKNOWN", outcome: "unknown" });
        expect(harness.calls).to.have.length(1);
      });
    }
  }
});
