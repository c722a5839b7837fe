import { expect } from "chai";
import type { PartSink } from "./context.ts";
import { StreamRelay } from "./stream_relay.ts";

/** What a caller reads: a restart voids the parts before it. */
function createReader(): PartSink & { text: string; restarts: number } {
  return {
    text: "",
    restarts: 0,
    sendPart(_sequence, text) {
      this.text += text;
    },
    sendRestart() {
      this.text = "";
      this.restarts += 1;
    },
  };
}

function openRelay() {
  const reader = createReader();
  const relay = new StreamRelay(reader);
  const sendParts = (callId: string, text: string, from = 0) => {
    for (const [index, character] of [...text].entries()) {
      relay.handlePart(callId, { sequence: from + index, text: character });
    }
  };
  return { reader, relay, sendParts };
}

describe("StreamRelay", () => {
  it("relays the parts of the one call", () => {
    const { reader, relay, sendParts } = openRelay();
    sendParts("a", "abc");
    relay.handleFinished("a", "abc");
    expect(reader).to.include({ text: "abc", restarts: 0 });
  });

  // A caller reads half a note of one engine and half of another's. The first
  // engine was slow, a second call was started beside it, and both streamed.
  it("drops the parts of a hedged call while the first one streams", () => {
    const { reader, relay, sendParts } = openRelay();
    sendParts("a", "ab");
    sendParts("b", "xyz");
    sendParts("a", "c", 2);
    relay.handleFinished("a", "abc");
    expect(reader).to.include({ text: "abc", restarts: 0 });
    expect(relay.droppedParts).to.equal(3);
  });

  it("sends a hedged call's whole text when it finishes first", () => {
    const { reader, relay, sendParts } = openRelay();
    sendParts("a", "ab");
    sendParts("b", "xyz");
    relay.handleFinished("b", "xyz");
    relay.handleFailed("a");
    expect(reader).to.include({ text: "xyz", restarts: 1 });
  });

  it("tells the caller that parts are void when their call failed", () => {
    const { reader, relay, sendParts } = openRelay();
    sendParts("a", "ab");
    relay.handleFailed("a");
    sendParts("b", "xyz");
    relay.handleFinished("b", "xyz");
    expect(reader).to.include({ text: "xyz", restarts: 1 });
  });

  // A caller's note lacks its beginning, though its last event says that it is
  // whole. A hedged call had streamed its first parts while the other one
  // owned the stream, so they were dropped; then the owner broke, and the hedged
  // call took the stream over from the middle of its text.
  it("loses no part of a hedged call when the owner fails in between", () => {
    const { reader, relay, sendParts } = openRelay();
    sendParts("a", "ab");
    sendParts("b", "xy");
    relay.handleFailed("a");
    sendParts("b", "z", 2);
    relay.handleFinished("b", "xyz");
    expect(reader.text).to.equal("xyz");
  });

  it("ignores the failure of a call that does not own the stream", () => {
    const { reader, relay, sendParts } = openRelay();
    sendParts("a", "ab");
    relay.handleFailed("b");
    sendParts("a", "c", 2);
    relay.handleFinished("a", "abc");
    expect(reader).to.include({ text: "abc", restarts: 0 });
  });
});
