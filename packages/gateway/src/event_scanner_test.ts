import { expect } from "chai";
import { EventScanner, MAX_ID_BYTES } from "./event_scanner.ts";

const TEXT = "id: 1\ndata: a\n\n: idle\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";

describe("EventScanner", () => {
  for (const size of [1, 2, 3, 5, 7, 11, TEXT.length]) {
    it(`counts events in parts of ${size} bytes`, () => {
      const scanner = new EventScanner({ events: 4, lastEventId: "0" });
      for (let at = 0; at < TEXT.length; at += size) {
        scanner.add(Buffer.from(TEXT.slice(at, at + size)));
      }
      expect(scanner.events).to.equal(7);
      expect(scanner.lastEventId).to.equal("2");
    });
  }

  it("takes the id of an event at its end", () => {
    const scanner = new EventScanner({ events: 1, lastEventId: "4" });
    scanner.add(Buffer.from("id: 5\ndata: a\n"));
    expect(scanner.lastEventId).to.equal("4");
    scanner.add(Buffer.from("\n"));
    expect(scanner.lastEventId).to.equal("5");
  });

  it("keeps no more than the start of a line without an end", () => {
    const scanner = new EventScanner();
    for (let i = 0; i < 1_000; i++) scanner.add(Buffer.alloc(1_000, "x"));
    scanner.add(Buffer.from("\nid: 7\n\n"));
    expect(scanner.lastEventId).to.equal("7");
  });
});

/** Ids of a stream in turn, the event that the caller has first, and the bad id. */
const ORDERS: Readonly<Record<string, OrderRow>> = {
  "repeated": { ids: ["1", "2", "2"], bad: ["2", "2"] },
  "going back": { ids: ["1", "2", "1"], bad: ["2", "1"] },
  "in another order": { ids: ["1", "3", "2"], bad: ["3", "2"] },
  "of more digits": { ids: ["9", "10", "9"], bad: ["10", "9"] },
  "with zeros first": { ids: ["9", "010", "10"], bad: ["010", "10"] },
  "above 2^53": {
    ids: ["9007199254740993", "9007199254740992"],
    bad: ["9007199254740993", "9007199254740992"],
  },
  "going back after an event without an id": {
    ids: ["1", "2", undefined, "2"],
    bad: ["2", "2"],
  },
  "the one that the caller has": { start: "4", ids: ["4"], bad: ["4", "4"] },
  "the first one, of a resume": { start: "4", ids: ["1"], bad: ["4", "1"] },
  "skipping": { ids: ["1", "2", "7", "20"] },
  "close above 2^53": { ids: ["9007199254740992", "9007199254740993"] },
  "none": { start: "4", ids: [undefined, undefined] },
  "no whole numbers": { ids: ["b", "a", "1.5", "1.4", "-1", "-2", "é", ""] },
  "after the one that the caller has": { start: "4", ids: ["5", "6"] },
};

interface OrderRow {
  readonly start?: string;
  readonly ids: readonly (string | undefined)[];
  /** The id before the bad one, and the bad one. */
  readonly bad?: readonly [string, string];
}

function buildEvent(id: string | undefined): string {
  return id === undefined ? "data: x\n\n" : `id: ${id}\ndata: x\n\n`;
}

describe("ids of events", () => {
  for (const [name, { start, ids, bad }] of Object.entries(ORDERS)) {
    for (const size of [1, 2, 3, 5, Infinity]) {
      it(`${name}, in parts of ${size} bytes`, () => {
        const scanner = new EventScanner();
        if (start !== undefined) scanner.setStart(start);
        const bytes = Buffer.from(ids.map(buildEvent).join(""));
        let message: string | undefined;
        for (let at = 0; at < bytes.length; at += size) {
          const step = scanner.add(bytes.subarray(at, at + size));
          if (step.kind === "inOrder") continue;
          message = step.message;
          break;
        }
        expect(message).to.equal(
          bad && `Event id "${bad[1]}" does not follow "${bad[0]}"`,
        );
        expect(scanner.events).to.equal(ids.length - (bad ? 1 : 0));
      });
    }
  }

  it("show how much of a chunk precedes a bad one", () => {
    const good = ": idle\n\nid: 1\r\ndata: a\r\n\r\nid: 2\n\n";
    const bad = ": idle\nevent: e\nid: 2\ndata: a\n\nid: 3\n\n";
    const scanner = new EventScanner();
    expect(scanner.add(Buffer.from(good + bad)))
      .to.include({ kind: "badId", goodBytes: good.length });
    expect(scanner).to.include({ events: 2, lastEventId: "2" });
    expect(scanner.add(Buffer.from("data: b\n\nid: 3\n\n")).kind)
      .to.equal("inOrder");
  });

  // No header carries such an id, so that the stream could go on nowhere.
  for (const [name, id] of Object.entries({ zero: "a\0b", CR: "a\rb" })) {
    it(`with a control byte are bad: ${name}`, () => {
      expect(new EventScanner().add(Buffer.from(buildEvent(id)))).to.include({
        kind: "badId",
        message: `Event id ${JSON.stringify(id)} has a control byte`,
      });
    });
  }

  for (const size of [1, 100, 1_000, Infinity]) {
    it(`are bad beyond a length, in parts of ${size} bytes`, () => {
      for (const excess of [0, 1, 1_000_000]) {
        const scanner = new EventScanner();
        const text = buildEvent("7".repeat(MAX_ID_BYTES + excess));
        const bytes = Buffer.from(text);
        const messages: string[] = [];
        for (let at = 0; at < bytes.length; at += size) {
          const step = scanner.add(bytes.subarray(at, at + size));
          if (step.kind === "badId") messages.push(step.message);
        }
        const message = `Event id "${"7".repeat(40)}..." is too long: ` +
          `expected at most ${MAX_ID_BYTES} bytes`;
        expect(messages).to.deep.equal(excess > 0 ? [message] : []);
      }
    });
  }
});
