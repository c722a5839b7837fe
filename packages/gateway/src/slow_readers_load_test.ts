import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import {
  type Harness,
  openHarness,
  waitUntil,
  writeEvents,
} from "./_slow_reader_harness.ts";

const MEBIBYTE = 1_048_576;
const LIMIT_BYTES = 48 * MEBIBYTE;
const PIECE = Buffer.concat([Buffer.alloc(65_534, 1), Buffer.from("\n\n")]);
const STUCK_CALLERS = 24;
const SLOW_CALLERS = 8;
const READERS = 40;
/** Bytes that each stuck caller would get; more than the kernel buffers. */
const STUCK_BYTES = 64 * MEBIBYTE;
const SLOW_BYTES = 2 * MEBIBYTE;
const EVENTS = 60;
const SAMPLE_INTERVAL_MS = 5;

function writePieces(response: ServerResponse, bytes: number): void {
  let left = bytes;
  const writeNext = () => {
    while (left > 0) {
      left -= PIECE.length;
      if (response.write(PIECE)) continue;
      response.once("drain", writeNext);
      return;
    }
    response.end();
  };
  writeNext();
}

function respond({ url }: IncomingMessage, response: ServerResponse): void {
  if (url === "/stream/stuck") return writePieces(response, STUCK_BYTES);
  if (url === "/stream/slow") return writePieces(response, SLOW_BYTES);
  writeEvents(response, EVENTS);
}

// Load: a third of the callers never reads, some read slowly, the rest wait for
// events. Guards against a budget that the first group takes from the others.
describe("Many slow readers", () => {
  let harness: Harness | undefined;

  afterEach(() => harness?.close());

  it("costs readers no event, stays within the budget and gives all back", async () => {
    harness = await openHarness({
      isContended: true,
      budget: { limitBytes: LIMIT_BYTES },
      respond,
    });
    const { ingress, call, events } = harness;
    const { budget } = ingress;
    let peakBytes = 0;
    const sampler = setInterval(() => {
      peakBytes = Math.max(peakBytes, budget.heldBytes);
    }, SAMPLE_INTERVAL_MS);
    const stuck = await Promise.all(
      Array.from({ length: STUCK_CALLERS }, () => call("/stream/stuck")),
    );
    const slow = Array.from({ length: SLOW_CALLERS }, async () => {
      const { response } = await call("/stream/slow");
      let bytes = 0;
      for await (const chunk of response) {
        bytes += chunk.length;
        await wait(SAMPLE_INTERVAL_MS);
      }
      return bytes;
    });
    const readers = Array.from({ length: READERS }, async () => {
      const reader = await call("/stream/events");
      const { bytes, isComplete } = await reader.readAll();
      return isComplete ? bytes.toString().match(/\d+/g)?.map(Number) : [];
    });
    const expected = Array.from({ length: EVENTS }, (_, i) => i);
    for (const read of await Promise.all(readers)) {
      expect(read).to.deep.equal(expected);
    }
    expect(await Promise.all(slow))
      .to.deep.equal(new Array(SLOW_CALLERS).fill(SLOW_BYTES));
    clearInterval(sampler);
    expect(budget.pausedTotal).to.be.above(0);
    expect(events).to.have.length(budget.evictedTotal);
    // Half of the budget, and one read of a socket for each response.
    expect(peakBytes).to.be.at.most(
      LIMIT_BYTES / 2 + (STUCK_CALLERS + SLOW_CALLERS) * PIECE.length,
    );
    for (const { leave } of stuck) leave();
    await waitUntil(() => ingress.activeRequests === 0);
    expect(budget.heldBytes).to.equal(0);
  });
});
