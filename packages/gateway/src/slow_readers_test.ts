import { expect } from "chai";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import {
  type Harness,
  type HarnessOptions,
  openHarness,
  waitUntil,
  writeEvents,
} from "./_slow_reader_harness.ts";

const MEBIBYTE = 1_048_576;
const PIECE_BYTES = 65_536;
/** Time without progress after which the endpoint cuts a response off. */
const CUT_OFF_MS = 2_000;
/**
 * Larger than what the kernel buffers on the two connections of a response (about
 * 6 MB each way on Linux), so that a caller that stops reading is noticed.
 */
const LARGE_BYTES = 48 * MEBIBYTE;
/** Longer than the cut-off, so that an endpoint without progress shows. */
const STALL_MS = 3_500;
const EVENTS = 40;
/** How long a caller stops reading a complete answer, in milliseconds. */
const CALLER_PAUSE_MS = 200;
/** How long a VM stays paused after a time is up, in milliseconds. */
const PAUSED_AFTER_MS = 50;
/** A thread that reads an answer once it gets a message. */
const CALLER_PROGRAM = `
  const { parentPort, workerData } = require("node:worker_threads");
  const host = "127.0.0.1";
  require("node:http").get({ host, ...workerData }, (response) => {
    let bytes = 0;
    response.pause();
    response.on("error", () => {});
    response.on("data", (part) => bytes += part.length);
    response.on("close", () =>
      parentPort.postMessage({ bytes, isComplete: response.complete }));
    parentPort.once("message", () => response.resume());
  });
`;

function buildPiece(index: number): Buffer {
  const event = Buffer.alloc(PIECE_BYTES, index % 251);
  event.write("\n\n", PIECE_BYTES - 2);
  return event;
}

function buildLarge(bytes: number): Buffer {
  const pieces = Array.from(
    { length: bytes / PIECE_BYTES },
    (_, i) => buildPiece(i),
  );
  return Buffer.concat(pieces);
}

/** Writes as fast as it is read, and cuts off a response that stays unread. */
function writeLarge(response: ServerResponse, bytes: number): void {
  let index = 0;
  let cutOff: NodeJS.Timeout | undefined;
  response.once("close", () => clearTimeout(cutOff));
  const writeNext = () => {
    while (index < bytes / PIECE_BYTES) {
      if (response.write(buildPiece(index++))) continue;
      cutOff = setTimeout(() => response.destroy(), CUT_OFF_MS);
      response.once("drain", () => {
        clearTimeout(cutOff);
        writeNext();
      });
      return;
    }
    response.end();
  };
  writeNext();
}

function respond(incoming: IncomingMessage, response: ServerResponse): void {
  const [, , kind, size] = incoming.url!.split("/");
  switch (kind) {
    case "events":
      incoming.resume();
      return writeEvents(response, EVENTS);
    case "large":
      incoming.resume();
      return writeLarge(response, Number(size) * MEBIBYTE);
    case "broken":
      incoming.resume();
      response.write(buildPiece(0));
      setTimeout(() => response.destroy(), 50);
      return;
    case "deaf":
      // Never reads the body and never answers.
      return;
  }
}

describe("Slow readers", function () {
  let harness: Harness | undefined;

  async function open(
    options: Partial<HarnessOptions> = {},
  ): Promise<Harness> {
    harness = await openHarness({
      isContended: true,
      budget: { limitBytes: 48 * MEBIBYTE },
      respond,
      ...options,
    });
    return harness;
  }

  /** A leak would refuse all bodies after some hours. */
  async function expectReleased({ ingress }: Harness): Promise<void> {
    await waitUntil(() => ingress.activeRequests === 0);
    expect(ingress.budget.heldBytes).to.equal(0);
    expect(ingress.budget.endpoints.totalBytes).to.equal(0);
  }

  afterEach(() => {
    harness?.close();
    harness = undefined;
  });

  // Without the budget the endpoint cuts the response off after 2 s.
  it("keeps the response of a caller that stops reading for 3.5 s", async () => {
    const site = await open();
    const call = await site.call(`/stream/large/${LARGE_BYTES / MEBIBYTE}`);
    await wait(STALL_MS);
    expect(site.ingress.budget.pausedTotal).to.be.above(0);
    const { bytes, isComplete } = await call.readAll();
    expect(isComplete).to.equal(true);
    expect(bytes.equals(buildLarge(LARGE_BYTES))).to.equal(true);
    expect(site.outcomes.map(({ kind }) => kind)).to.deep.equal(["streamed"]);
    await expectReleased(site);
  });

  // Shows that the endpoint of these tests does cut off, and guards the behaviour
  // of sites that are not contended.
  it("pauses at once where the site is not contended", async () => {
    const site = await open({ isContended: false });
    const call = await site.call(`/stream/large/${LARGE_BYTES / MEBIBYTE}`);
    await wait(STALL_MS);
    expect(site.ingress.budget.getHeldBytes("unread")).to.equal(0);
    const { isComplete } = await call.readAll();
    expect(isComplete).to.equal(false);
    await expectReleased(site);
  });

  // One stuck caller must not delay or drop events of the others.
  it("passes on another caller's events while callers don't read", async () => {
    const site = await open();
    const stuck = await Promise.all(
      [1, 2, 3].map(() => site.call("/stream/large/48")),
    );
    await waitUntil(() => site.ingress.budget.pausedTotal > 0);
    const reader = await site.call("/stream/events");
    const gapsMs: number[] = [];
    let lastAt = performance.now();
    reader.response.on("data", () => {
      gapsMs.push(performance.now() - lastAt);
      lastAt = performance.now();
    });
    const { bytes, isComplete } = await reader.readAll();
    expect(isComplete).to.equal(true);
    expect(bytes.toString().match(/\d+/g)?.map(Number))
      .to.deep.equal(Array.from({ length: EVENTS }, (_, i) => i));
    expect(Math.max(...gapsMs)).to.be.below(1_000);
    for (const call of stuck) call.leave();
    await expectReleased(site);
  });

  // Callers that don't read would otherwise refuse the bodies of all others.
  it("ends an unread response when bodies need its memory", async () => {
    const site = await open({ budget: { limitBytes: 8 * MEBIBYTE } });
    const stuck = await site.call("/stream/large/48");
    await waitUntil(() => site.ingress.budget.pausedTotal > 0);
    await wait(1_100);
    const body = new Uint8Array(6 * MEBIBYTE);
    const served = await site.call("/stream/events", body);
    expect(served.response.statusCode).to.equal(200);
    expect((await served.readAll()).isComplete).to.equal(true);
    expect(site.ingress.budget.evictedTotal).to.equal(1);
    expect(site.events).to.deep.equal(["response_evicted"]);
    expect((await stuck.readAll()).isComplete).to.equal(false);
    await expectReleased(site);
  });

  // The endpoint is done, so no deadline ends the response of such a caller.
  it("ends a complete answer that its caller never reads", async () => {
    const site = await open({
      budget: { limitBytes: 48 * MEBIBYTE, maxUnreadMs: 3_000 },
    });
    await site.call("/stream/large/16");
    await waitUntil(() => site.outcomes.length === 1);
    expect(site.outcomes.map(({ kind }) => kind)).to.deep.equal(["streamed"]);
    expect(site.ingress.budget.getHeldBytes("unread")).to.be.above(0);
    await expectReleased(site);
    expect(site.events).to.deep.equal(["response_evicted"]);
  });

  // The time was up before the VM noticed that its caller had read on.
  it("keeps a complete answer that its caller reads while the VM is paused", async () => {
    const maxUnreadMs = 2_000;
    const site = await open({
      budget: { limitBytes: 48 * MEBIBYTE, maxUnreadMs },
    });
    const caller = new Worker(CALLER_PROGRAM, {
      eval: true,
      workerData: { port: site.ingress.port, path: "/stream/large/16" },
    });
    await waitUntil(() => site.outcomes.length === 1);
    const until = performance.now() + maxUnreadMs + PAUSED_AFTER_MS;
    await wait(CALLER_PAUSE_MS);
    // Timers that are due run after an immediate and before sockets are polled.
    setImmediate(() => {
      caller.postMessage("read");
      while (performance.now() < until);
    });
    const [received] = await once(caller, "message");
    expect(received).to.deep.equal({
      bytes: 16 * MEBIBYTE,
      isComplete: true,
    });
    expect(site.events).to.deep.equal([]);
    await expectReleased(site);
  });

  // A stop of the VM cuts off callers that don't read.
  it("gives the bytes back when the VM closes its connections", async () => {
    const site = await open();
    const calls = await Promise.all(
      ["/stream/large/48", "/whole/large/8"].map((path) => site.call(path)),
    );
    await waitUntil(() => site.ingress.budget.pausedTotal > 0);
    site.ingress.destroy();
    await expectReleased(site);
    for (const call of calls) call.leave();
  });

  it("gives the bytes back when a caller leaves while its answer is unread", async () => {
    const site = await open();
    const call = await site.call("/stream/large/48");
    await waitUntil(() => site.ingress.budget.getHeldBytes("unread") > 0);
    call.leave();
    await expectReleased(site);
    await waitUntil(() => site.runs.active === 0);
    expect(site.outcomes.map(({ kind }) => kind)).to.deep.equal(["ended"]);
  });

  it("gives the bytes back when the endpoint breaks its stream off", async () => {
    const site = await open();
    const call = await site.call("/stream/broken", new Uint8Array(MEBIBYTE));
    expect((await call.readAll()).isComplete).to.equal(false);
    await expectReleased(site);
  });

  it("counts a whole answer until its caller has read it", async () => {
    const site = await open();
    const call = await site.call("/whole/large/8");
    await waitUntil(() => site.outcomes.length === 1);
    const { bytes, isComplete } = await call.readAll();
    expect(isComplete).to.equal(true);
    expect(bytes.equals(buildLarge(8 * MEBIBYTE))).to.equal(true);
    await expectReleased(site);
  });

  it("gives the bytes back when a whole answer is too large", async () => {
    const site = await open();
    await site.call("/whole/large/9").then(
      () => expect.fail("The answer must not arrive"),
      () => {},
    );
    expect(site.outcomes.map(({ kind }) => kind)).to.deep.equal(["lost"]);
    await expectReleased(site);
  });

  // An endpoint that stops reading bodies must not take the budget of the others.
  it("bounds the bodies of an endpoint that doesn't read them", async () => {
    const site = await open();
    const body = new Uint8Array(8 * MEBIBYTE);
    const first = site.call("/stream/deaf", body).catch(() => "cut off");
    await waitUntil(() => site.ingress.budget.endpoints.totalBytes > 0);
    const second = site.call("/stream/deaf", body).catch(() => "cut off");
    expect(await second).to.equal("cut off");
    expect(site.outcomes.map(({ kind }) => kind)).to.deep.equal(["notSent"]);
    const reader = await site.call("/stream/events");
    expect((await reader.readAll()).isComplete).to.equal(true);
    site.ingress.destroy();
    expect(await first).to.equal("cut off");
    await expectReleased(site);
  });
});
