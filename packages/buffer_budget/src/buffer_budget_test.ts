import { expect } from "chai";
import { BufferBudget } from "./buffer_budget.ts";
import { ByteQueue } from "./byte_queue.ts";
import { EndpointBytes } from "./endpoint_bytes.ts";
import { planEvictions } from "./plan_evictions.ts";

const MEBIBYTE = 1_048_576;

describe("planEvictions", () => {
  it("ends the largest response that is unread longest first", () => {
    const responses = [
      { id: 1, unreadBytes: 100, unreadMs: 9_000 },
      { id: 2, unreadBytes: 5_000, unreadMs: 2_000 },
      { id: 3, unreadBytes: 4_000, unreadMs: 1_500 },
    ];
    expect(planEvictions(responses, 4_500)).to.deep.equal([2]);
    expect(planEvictions(responses, 6_000)).to.deep.equal([2, 3]);
  });

  // A caller on a slow link must not lose its answer to one that never reads.
  it("never ends a response whose caller reads", () => {
    const responses = [{ id: 1, unreadBytes: 9_000, unreadMs: 999 }];
    expect(planEvictions(responses, 1)).to.deep.equal([]);
  });

  it("ends none if that can't free enough", () => {
    const responses = [{ id: 1, unreadBytes: 9_000, unreadMs: 5_000 }];
    expect(planEvictions(responses, 9_001)).to.deep.equal([]);
  });
});

describe("BufferBudget", () => {
  let now = 0;
  let evicted: string[] = [];

  function createBudget(limitBytes: number): BufferBudget {
    now = 0;
    evicted = [];
    return new BufferBudget({ limitBytes, getNow: () => now });
  }

  // A request ends in several ways at once, such as a timeout and a disconnect.
  it("gives every byte back once, whatever the order of ends", () => {
    const budget = createBudget(1_000);
    const account = budget.openAccount(() => {});
    account.add("body", 300);
    account.add("answer", 200);
    account.add("unread", 100);
    account.release("answer", 200);
    account.release("answer", 200);
    account.recordRead(40);
    expect(budget.heldBytes).to.equal(360);
    account.close();
    account.close();
    account.recordRead(60);
    account.add("unread", 50);
    expect(budget.heldBytes).to.equal(0);
  });

  // The callers that don't read would otherwise refuse all others their bodies.
  it("ends unread responses for a body that needs room", () => {
    const budget = createBudget(1_000);
    const stuck = budget.openAccount(({ unreadBytes, unreadMs }) =>
      evicted.push(`stuck ${unreadBytes} ${unreadMs}`)
    );
    const reading = budget.openAccount(() => evicted.push("reading"));
    stuck.add("unread", 500);
    reading.add("unread", 400);
    now = 1_200;
    reading.recordRead(10);
    const arriving = budget.openAccount(() => evicted.push("arriving"));
    arriving.add("body", 300);
    expect(budget.hasRoom()).to.equal(true);
    expect(evicted).to.deep.equal(["stuck 500 1200"]);
    expect(budget.evictedTotal).to.equal(1);
    expect(budget.heldBytes).to.equal(690);
  });

  it("ends unread responses for an answer that is read whole", () => {
    const budget = createBudget(MEBIBYTE);
    const stuck = budget.openAccount(() => evicted.push("stuck"));
    stuck.add("unread", 600_000);
    now = 1_200;
    const account = budget.openAccount(() => evicted.push("own"));
    account.add("answer", 200_000);
    expect(account.mayReadAnswer()).to.equal(true);
    expect(evicted).to.deep.equal([]);
    account.add("answer", 200_000);
    expect(account.mayReadAnswer()).to.equal(true);
    expect(evicted).to.deep.equal(["stuck"]);
    account.add("answer", 200_000);
    expect(account.mayReadAnswer()).to.equal(false);
  });

  // After a freeze of the VM every caller looks as if it had not read.
  it("ends no response for time in which this process did not run", () => {
    const budget = createBudget(1_000);
    budget.recordTick();
    const account = budget.openAccount(() => evicted.push("reader"));
    account.add("unread", 900);
    now = 60_000;
    expect(account.unreadMs).to.equal(500);
    budget.recordTick();
    now += 100;
    expect(account.unreadMs).to.equal(600);
    account.add("body", 500);
    expect(budget.hasRoom()).to.equal(false);
    expect(evicted).to.deep.equal([]);
  });

  it("refuses a body if only callers that read hold the rest", () => {
    const budget = createBudget(1_000);
    const reading = budget.openAccount(() => evicted.push("reading"));
    reading.add("unread", 900);
    const arriving = budget.openAccount(() => evicted.push("arriving"));
    arriving.add("body", 300);
    expect(budget.hasRoom()).to.equal(false);
    expect(evicted).to.deep.equal([]);
  });

  // A paused endpoint cuts the response off after 2 s.
  it("reads a paused response again every second", () => {
    const budget = createBudget(16 * MEBIBYTE);
    const account = budget.openAccount(() => evicted.push("own"));
    account.add("unread", 5 * MEBIBYTE);
    expect(account.updateRelay()).to.deep.equal({
      kind: "pause",
      checkAfterMs: 1_000,
    });
    now = 1_000;
    expect(account.updateRelay().kind).to.equal("read");
    account.add("unread", 2 * MEBIBYTE);
    expect(account.updateRelay().kind).to.equal("read");
    account.add("unread", 1);
    expect(account.updateRelay().kind).to.equal("pause");
    expect(budget.pausedTotal).to.equal(2);
    expect(evicted).to.deep.equal([]);
  });

  it("gives up a complete answer 30 s after the last read", () => {
    const account = createBudget(1_000).openAccount(() => {});
    account.add("unread", 500);
    now = 10_000;
    account.recordRead(100);
    now = 39_000;
    expect(account.leftMs).to.equal(1_000);
    now = 41_000;
    expect(account.leftMs).to.equal(0);
  });

  it("waits if its caller reads and no room can be made", () => {
    const budget = createBudget(1_000_000);
    const account = budget.openAccount(() => evicted.push("own"));
    account.add("unread", 600_000);
    account.updateRelay();
    now = 1_500;
    account.recordRead(10);
    expect(account.updateRelay()).to.deep.equal({
      kind: "pause",
      checkAfterMs: 250,
    });
    expect(evicted).to.deep.equal([]);
  });
});

describe("EndpointBytes", () => {
  // An endpoint that stops reading would otherwise collect all bodies.
  it("bounds the bodies of one endpoint and leaves others alone", () => {
    const bytes = new EndpointBytes(100);
    const release = bytes.addBody("a", 80);
    expect(bytes.addBody("a", 30)).to.equal(undefined);
    expect(bytes.addBody("b", 30)).to.be.a("function");
    release!();
    release!();
    expect(bytes.totalBytes).to.equal(30);
    expect(bytes.addBody("a", 30)).to.be.a("function");
  });

  it("allows one body above the limit", () => {
    const bytes = new EndpointBytes(100);
    expect(bytes.addBody("a", 500)).to.be.a("function");
    expect(bytes.addBody("a", 1)).to.equal(undefined);
  });
});

describe("ByteQueue", () => {
  // A block that is taken while it fills could lose or repeat bytes.
  it("gives back the same bytes in order for chunks of all sizes", () => {
    const sizes = [1, 50, 5_000, 3, 16_384, 40_000, 4_095, 4_096, 20, 70_000];
    const queue = new ByteQueue();
    const added: Uint8Array[] = [];
    const taken: Uint8Array[] = [];
    for (let i = 0; i < 300; i++) {
      const chunk = new Uint8Array(sizes[i % sizes.length]!).fill(i);
      queue.add(chunk);
      added.push(chunk);
      if (i % 3 === 0) taken.push(queue.removeFirst(65_536).slice());
    }
    const lengths = added.reduce((sum, { length }) => sum + length, 0);
    const before = taken.reduce((sum, { length }) => sum + length, 0);
    expect(queue.length).to.equal(lengths - before);
    while (queue.length > 0) taken.push(queue.removeFirst(65_536).slice());
    expect(Buffer.concat(taken).equals(Buffer.concat(added))).to.equal(true);
    expect(queue.removeFirst(1)).to.have.length(0);
  });
});
