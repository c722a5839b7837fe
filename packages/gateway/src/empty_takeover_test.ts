import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import { ForwardHarness } from "./_forward_harness.ts";

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;

describe("takeovers that end in order without an event", () => {
  for (const status of [STATUS_OK, STATUS_NO_CONTENT]) {
    // The caller saw the stream as complete while its endpoint was still at work.
    it(`leave the stream to the silent endpoint, status ${status}`, async () => {
      const harness = new ForwardHarness();
      const result = harness.run();
      const [silent] = await harness.waitForCalls(1);
      silent!.begin();
      silent!.writeEvent(1);
      const [, empty] = await harness.waitForCalls(2);
      empty!.begin(status);
      empty!.end();
      await wait(0);
      expect(silent!.isCancelled).to.equal(false);
      silent!.writeEvent(2);
      silent!.end();
      expect((await result).kind).to.equal("streamed");
      expect(harness.events).to.deep.equal(["1 e0", "2 e0"]);
    });
  }
});
