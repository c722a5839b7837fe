import { expect } from "chai";
import { createRefusal, tellOfUnsettledKey } from "./answer.ts";
import { COMPLETION, summarize } from "./_test_fixtures.ts";

describe("tellOfUnsettledKey", () => {
  // A haulier is billed twice. Its first attempt had issued the ticket at another
  // entry; the repeat was refused for load with "not run", which was true of the
  // attempt and not of the key, and the client began again under a new key.
  it("tells a refused attempt and its key apart", () => {
    const told = tellOfUnsettledKey(createRefusal("QUEUE_FULL", "Full"));
    expect(summarize(told)).to.deep.equal({
      name: "QUEUE_FULL",
      outcome: "unknown",
      attempt: "not run",
    });
  });

  it("keeps when to come back", () => {
    const refusal = createRefusal("QUEUE_FULL", "Full", { retryAfterMs: 5 });
    const told = tellOfUnsettledKey(refusal);
    expect(told.kind === "refused" && told.failure.retryAfterMs).to.equal(5);
  });

  for (
    const answer of [
      COMPLETION,
      createRefusal("OUTCOME_UNKNOWN", "Broken"),
      createRefusal("ANSWER_NOT_KEPT", "Gone", { attempt: "not run" }),
    ]
  ) {
    it(`leaves ${summarize(answer).name} as it is`, () => {
      expect(tellOfUnsettledKey(answer)).to.equal(answer);
    });
  }
});
