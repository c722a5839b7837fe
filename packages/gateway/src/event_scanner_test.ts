import { expect } from "chai";
import { EventScanner } from "./event_scanner.ts";

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
