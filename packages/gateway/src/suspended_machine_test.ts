import { expect } from "chai";
import { ForwardHarness } from "./_forward_harness.ts";

const TIMEOUT_MS = 100;
const readSteadyClock = performance.now.bind(performance);

/** Stops the steady clock while time passes, as on a machine that is suspended. */
function suspendMachine(ms: number): void {
  const suspendedAt = readSteadyClock();
  performance.now = () => suspendedAt;
  while (readSteadyClock() < suspendedAt + ms);
}

describe("streams that end while the machine of the VM is suspended", () => {
  afterEach(() => {
    performance.now = readSteadyClock;
  });

  for (const isResumable of [true, false]) {
    const kind = isResumable ? "resumable" : "other";
    // An endpoint that stopped at its deadline passed for one that was done.
    it(`does not take the last chunk of ${kind} streams for their end`, async () => {
      const route = { timeoutMs: TIMEOUT_MS, isResumable };
      const harness = new ForwardHarness({ route });
      const result = harness.run();
      const [call] = await harness.waitForCalls(1);
      call!.begin();
      call!.writeEvent(1);
      suspendMachine(TIMEOUT_MS);
      call!.end();
      expect((await result).kind).not.to.equal("streamed");
      expect(harness.isStreamEnded).to.equal(false);
    });
  }
});
