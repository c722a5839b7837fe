import { expect } from "chai";
import { EndpointHealth } from "./endpoint_health.ts";

const SLOW = { elapsedMs: 400, now: 1_000 };
const FAST = { elapsedMs: 30, now: 1_010 };

function createSlow(): EndpointHealth {
  const health = new EndpointHealth();
  for (let call = 0; call < 3; call += 1) health.recordFinish(10, SLOW);
  expect(health.hasBecomeSlow()).to.equal(true);
  health.setSlow(SLOW.now);
  return health;
}

describe("EndpointHealth", () => {
  // Every lookup is refused for seconds while all workers are well. Each was shut
  // out as slow in a short pause of the entry; calls that were under way then
  // proved it well, so that it no longer counted as shut out, but it stayed shut.
  it("opens an endpoint again that a call under way has proved well", () => {
    const health = createSlow();
    health.recordFinish(1, FAST);
    expect([health.isSlow, health.isOpen(FAST.now)]).to.deep.equal([
      false,
      true,
    ]);
  });

  it("keeps an endpoint shut while its calls are slow", () => {
    const health = createSlow();
    health.recordFinish(10, { elapsedMs: 400, now: 1_010 });
    expect(health.isOpen(1_010)).to.equal(false);
  });

  // Calls of a millisecond take four while the event loop is busy; that is no
  // straggler, and shutting endpoints out then takes away what is left.
  it("calls no call slow that took less than a pause of an event loop", () => {
    const health = new EndpointHealth();
    const call = { elapsedMs: 8, now: 1_000 };
    for (let count = 0; count < 5; count += 1) health.recordFinish(8, call);
    expect(health.hasBecomeSlow()).to.equal(false);
  });
});
