import { expect } from "chai";
import { planStop } from "./stop_times.ts";

describe("planStop", () => {
  it("leaves the end of the grace period to streams, then to slow readers", () => {
    const plans = [600, 2_400, 8_000].map((graceMs) =>
      planStop({ handledAt: 100, sentAfter: 100, graceMs })
    );
    expect(plans).to.deep.equal([
      { drainUntil: 600, streamUntil: 650, closeAt: 675 },
      { drainUntil: 2_100, streamUntil: 2_300, closeAt: 2_400 },
      { drainUntil: 7_400, streamUntil: 7_750, closeAt: 8_000 },
    ]);
  });

  // A VM with a late event loop accepted requests that outlast its SIGKILL.
  it("lets requests run only until the earliest possible SIGKILL", () => {
    const plan = planStop({ handledAt: 2_000, sentAfter: 500, graceMs: 8_000 });
    expect(plan).to.deep.equal({
      drainUntil: 7_800,
      streamUntil: 9_650,
      closeAt: 9_900,
    });
  });
});
