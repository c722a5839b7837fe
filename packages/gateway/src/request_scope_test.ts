import { expect } from "chai";
import { END_REASON, RequestScope } from "./request_scope.ts";

function countTimers(): number {
  return process.getActiveResourcesInfo()
    .filter((kind) => kind === "Timeout").length;
}

describe("RequestScope", () => {
  // A request whose caller left early stayed in memory until its deadline.
  it("keeps no timer if it ended before its deadline was set", () => {
    const timers = countTimers();
    const scope = new RequestScope();
    scope.end(END_REASON.callerDisconnected);
    scope.startDeadline(60_000);
    scope.end(END_REASON.done);
    expect(countTimers()).to.equal(timers);
  });
});
