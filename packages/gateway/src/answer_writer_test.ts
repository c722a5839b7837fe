import { expect } from "chai";
import { formatRetryAfter } from "./answer_writer.ts";

describe("formatRetryAfter", () => {
  // A caller that is told zero comes back at once and is refused again.
  it("never tells a caller to come back too early", () => {
    expect([0, 3, 10, 11, 50, 1_241, 600_000].map(formatRetryAfter))
      .to.deep.equal(
        ["0.01", "0.01", "0.01", "0.02", "0.05", "1.25", "600.00"],
      );
  });
});
