import { expect } from "chai";
import { planStop } from "./stop_times.ts";

describe("planStop", () => {
  it("leaves the end of the grace period to streams, then to slow readers", () => {
    expect(
      [600, 2_400, 8_000].map((graceMs) =>
        planStop({ stoppedAt: 100, graceMs })
      ),
    )
      .to.deep.equal([
        { drainUntil: 600, streamUntil: 650, closeAt: 675 },
        { drainUntil: 2_100, streamUntil: 2_300, closeAt: 2_400 },
        { drainUntil: 7_400, streamUntil: 7_750, closeAt: 8_000 },
      ]);
  });
});
