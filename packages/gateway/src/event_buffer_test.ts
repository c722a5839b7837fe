import { expect } from "chai";
import {
  EventBuffer,
  type EventStep,
  EventTail,
  MAX_EVENT_BYTES,
} from "./event_buffer.ts";

const PART_BYTES = 65_536;

/** Takes texts in turn and gives what each of them completed. */
function takeTexts(buffer: EventBuffer, texts: readonly string[]): string[] {
  return texts.map((text) => {
    const step = buffer.takeCompleteEvents(Buffer.from(text));
    return step.kind === "events"
      ? Buffer.from(step.bytes).toString()
      : step.kind;
  });
}

describe("EventBuffer", () => {
  for (const newline of ["\n", "\r\n"]) {
    const event = ["id: 1", "data: a", "", ""].join(newline);
    for (let at = 1; at < event.length; at++) {
      const parts = [event.slice(0, at), event.slice(at)];
      it(`completes ${JSON.stringify(parts)}`, () => {
        const buffer = new EventBuffer();
        expect(takeTexts(buffer, parts)).to.deep.equal(["", event]);
        expect(buffer.hasPartial).to.equal(false);
        expect(buffer.lastEventId).to.equal("1");
      });
    }
  }

  it("keeps what follows the last complete event", () => {
    const buffer = new EventBuffer();
    const texts = ["id: 1\n\nid: 2\n\nid: 3", "\n", "\n"];
    expect(takeTexts(buffer, texts))
      .to.deep.equal(["id: 1\n\nid: 2\n\n", "", "id: 3\n\n"]);
    expect(buffer.lastEventId).to.equal("3");
  });

  // An event without an end was buffered up to the deadline.
  it("refuses an event as soon as it is too long", () => {
    const buffer = new EventBuffer();
    const part = Buffer.alloc(PART_BYTES, "x");
    for (let i = 0; i < MAX_EVENT_BYTES; i += PART_BYTES) {
      expect(buffer.takeCompleteEvents(part).kind).to.equal("events");
    }
    expect(buffer.heldBytes).to.be.within(MAX_EVENT_BYTES, 2 * MAX_EVENT_BYTES);
    expect(buffer.takeCompleteEvents(Buffer.from("x")).kind)
      .to.equal("tooLong");
    expect(buffer.heldBytes).to.equal(0);
  });

  // A resumed stream would lack events that were never passed on.
  it("keeps the last id if an event that follows is too long", () => {
    const buffer = new EventBuffer();
    const text = `id: 1\n\n${"x".repeat(MAX_EVENT_BYTES + 1)}`;
    expect(takeTexts(buffer, [text])).to.deep.equal(["tooLong"]);
    expect(buffer.lastEventId).to.equal(undefined);
  });
});

describe("EventTail", () => {
  function addBytes(tail: EventTail, bytes: number): void {
    for (let i = 0; i < bytes; i += PART_BYTES) {
      tail.add(Buffer.alloc(Math.min(PART_BYTES, bytes - i), "x"));
    }
  }

  it("is too long only beyond the limit", () => {
    const tail = new EventTail();
    addBytes(tail, MAX_EVENT_BYTES);
    expect(tail.isTooLong).to.equal(false);
    addBytes(tail, 1);
    expect(tail.isTooLong).to.equal(true);
  });

  it("counts anew after the end of an event", () => {
    const tail = new EventTail();
    addBytes(tail, MAX_EVENT_BYTES);
    tail.add(Buffer.from("\n"));
    tail.add(Buffer.from("\nxy"));
    expect(tail.isTooLong).to.equal(false);
    addBytes(tail, MAX_EVENT_BYTES - 2);
    expect(tail.isTooLong).to.equal(false);
    addBytes(tail, 1);
    expect(tail.isTooLong).to.equal(true);
  });
});

/** What streams are followed with, by the way in which they are passed on. */
const FOLLOWERS = {
  EventBuffer: () => {
    const buffer = new EventBuffer();
    return (chunk: Uint8Array) => buffer.takeCompleteEvents(chunk);
  },
  EventTail: () => {
    const tail = new EventTail();
    return (chunk: Uint8Array) => tail.add(chunk);
  },
};

// Events that came twice, went back or were missing reached the caller as in order.
for (const [name, open] of Object.entries(FOLLOWERS)) {
  describe(`ids that do not increase, ${name}`, () => {
    const good = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const bad = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    const message = 'Event id "2" does not follow "2"';

    it("pass on the events before them", () => {
      expect(takeSteps(open(), [good + bad]))
        .to.deep.equal([{ kind: "badId", bytes: good, message }]);
    });

    it("pass on nothing of a chunk that begins with them", () => {
      expect(takeSteps(open(), [good, bad]))
        .to.deep.equal([
          { kind: "events", bytes: good },
          { kind: "badId", bytes: "", message },
        ]);
    });

    for (let at = 1; at < "id: 2\n".length; at++) {
      it(`never complete an event, divided after ${at} bytes`, () => {
        const parts = [good + bad.slice(0, at), bad.slice(at)];
        const [first, second] = takeSteps(open(), parts);
        expect(first).to.include({ kind: "events" });
        expect(second).to.deep.equal({ kind: "badId", bytes: "", message });
      });
    }
  });
}

function takeSteps(
  take: (chunk: Uint8Array) => EventStep,
  texts: readonly string[],
) {
  return texts.map((text) => {
    const step = take(Buffer.from(text));
    return step.kind === "tooLong"
      ? step
      : { ...step, bytes: Buffer.from(step.bytes).toString() };
  });
}

describe("EventBuffer and the ids of events", () => {
  it("goes on after the last good event before a bad one", () => {
    const buffer = new EventBuffer();
    takeTexts(buffer, ["id: 1\n\nid: 1\n\nid: 2"]);
    expect(buffer).to.include({ events: 1, lastEventId: "1" });
    expect(buffer.hasPartial).to.equal(false);
    expect(takeTexts(buffer, ["id: 2\n\n"])).to.deep.equal(["id: 2\n\n"]);
  });

  it("compares the first event with the one that the caller has", () => {
    const buffer = new EventBuffer();
    buffer.setStart("4");
    expect(buffer.lastEventId).to.equal(undefined);
    expect(takeTexts(buffer, ["id: 4\n\n"])).to.deep.equal(["badId"]);
    expect(takeTexts(buffer, ["id: 5\n\n"])).to.deep.equal(["id: 5\n\n"]);
  });

  it("compares the first event of a takeover with the last one before", () => {
    const buffer = new EventBuffer();
    takeTexts(buffer, ["id: 4\n\n"]);
    expect(takeTexts(new EventBuffer(buffer), ["id: 4\n\n"]))
      .to.deep.equal(["badId"]);
  });
});

describe("EventBuffer and an event that has begun", () => {
  const rows: Readonly<Record<string, boolean>> = {
    "": false,
    "i": true,
    "id: 2\nda": true,
    "data: b\n": true,
    ": idle\ndata": true,
    ":": false,
    ": idle": false,
    ": idle\n": false,
    "\n": false,
    "\r\n: idle": false,
  };
  for (const [partial, isDue] of Object.entries(rows)) {
    it(`is due after ${JSON.stringify(partial)}: ${isDue}`, () => {
      const buffer = new EventBuffer();
      takeTexts(buffer, ["id: 1\n\n", partial]);
      expect(new EventBuffer(buffer).isEventDue).to.equal(isDue);
      buffer.dropPartial();
      expect(buffer.isEventDue).to.equal(isDue);
      buffer.dropPartial();
      takeTexts(buffer, [": idle\n\n"]);
      expect(buffer.isEventDue).to.equal(isDue);
      takeTexts(buffer, ["id: 2\n\n"]);
      expect(buffer.isEventDue).to.equal(false);
    });
  }

  it("is due after one that is too long", () => {
    const buffer = new EventBuffer();
    takeTexts(buffer, ["x".repeat(MAX_EVENT_BYTES + 1)]);
    expect(buffer.isEventDue).to.equal(true);
  });
});
