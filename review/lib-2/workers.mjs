/**
 * Stand-ins for stage workers and model workers, as the pages describe them.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import { setTimeout as wait } from "node:timers/promises";

/** Reads a body; undefined if its connection closed before its end. */
async function readBody(request) {
  const chunks = [];
  try {
    for await (const chunk of request) chunks.push(chunk);
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString();
}

/** Runs pieces, one call at a time, and keeps their results. */
export class StageWorker {
  #queue = Promise.resolve();
  #waiting = 0;
  #count = 0;
  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });

  /**
   * @param options Its id, the figures of its service (`callMs`, `itemMs`, `queue`,
   * `handleS`), and the set of all results that exist.
   */
  constructor(options) {
    this.options = options;
  }

  async start() {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(request, response) {
    const body = await readBody(request);
    if (body === undefined) return;
    const { id, results, queue } = this.options;
    const target = request.headers["x-target-instance"];
    if (target !== undefined && target !== id) {
      return response.writeHead(421, { "x-instance-id": id }).end();
    }
    if (request.url === "/api/stage-free") {
      for (const handle of JSON.parse(body).handles) results.delete(handle);
      return response.writeHead(200).end();
    }
    if (this.#waiting > queue) {
      return response.writeHead(503, { "x-not-executed": "1" }).end();
    }
    this.#waiting += 1;
    const turn = this.#queue;
    this.#queue = turn.then(async () => {
      await this.#run(JSON.parse(body).items, response);
      this.#waiting -= 1;
    });
  }

  async #run(items, response) {
    const { callMs, itemMs, handleS, results } = this.options;
    if (response.destroyed) return;
    const areGone = items.map(({ inputs = [] }) =>
      inputs.some((handle) => !results.has(handle))
    );
    await wait(callMs + items.length * itemMs);
    const answers = items.map((_, i) => {
      if (areGone[i]) return { reason: "gone" };
      this.#count += 1;
      const handle = `${this.address}/${this.options.id}-${this.#count}`;
      results.add(handle);
      setTimeout(() => results.delete(handle), handleS * 1_000).unref();
      return { handle };
    });
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ items: answers }));
  }
}

/**
 * Runs streams in some slots and queues a few more. It fetches the inputs of a request
 * at its turn, before it reads the prompt, and begins to run it with the first event.
 */
export class ModelWorker {
  #running = 0;
  #waiting = [];
  #extras = new WeakMap();
  #lastAnswers = new WeakMap();
  #server = createServer({ keepAliveTimeout: 8_000 }, (request, response) => {
    void this.#handle(request, response);
  });

  /**
   * @param options Its id, `slots`, `queue`, `firstMs`, `gapMs`, `events`, the results
   * that exist, `record` for the record, and `isDoubled`, which says whether the
   * answer that is written now is sent a second time, late.
   */
  constructor(options) {
    this.options = options;
  }

  async start() {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(request, response) {
    const { id, slots, queue, record } = this.options;
    const attemptId = request.headers["x-attempt-id"];
    const { socket } = request;
    // A late second answer arrives where the answer to this request is expected.
    const extra = this.#extras.get(socket);
    if (extra !== undefined) {
      this.#extras.delete(socket);
      record({ kind: "secondAnswer", worker: id, attemptId, of: extra.of });
      socket.write(extra.bytes);
    }
    if (await readBody(request) === undefined) return;
    const last = this.#lastAnswers.get(socket);
    record({
      kind: "arrived",
      worker: id,
      attemptId,
      connectionHadOwnRefusal: last === attemptId ? true : undefined,
    });
    if (request.headers["x-target-instance"] !== id) {
      return this.#refuse(response, 421, { attemptId, socket });
    }
    if (this.#running >= slots && this.#waiting.length >= queue) {
      return this.#refuse(response, 503, { attemptId, socket });
    }
    if (this.#running >= slots) {
      await new Promise((resolve) => this.#waiting.push(resolve));
    } else this.#running += 1;
    try {
      if (!response.destroyed) await this.#run(request, response, attemptId);
    } finally {
      const next = this.#waiting.shift();
      if (next === undefined) this.#running -= 1;
      else next();
    }
  }

  /** Answers that the request did not run. */
  #refuse(response, status, { attemptId, socket }) {
    const { id, record, isDoubled, hasRefusalIds = true } = this.options;
    record({ kind: "refused", worker: id, attemptId, status });
    const echo = hasRefusalIds ? { "x-attempt-id": attemptId } : {};
    response.writeHead(status, { "x-not-executed": "1", ...echo });
    response.end();
    this.#lastAnswers.set(socket, attemptId);
    if (!isDoubled()) return;
    const idLine = hasRefusalIds ? `X-Attempt-Id: ${attemptId}\r\n` : "";
    this.#extras.set(socket, {
      of: attemptId,
      bytes: `HTTP/1.1 ${status} Refused\r\n${idLine}` +
        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    });
  }

  async #run(request, response, attemptId) {
    const { id, firstMs, gapMs, events, results, record } = this.options;
    const { socket } = request;
    const inputs = String(request.headers["x-inputs"] ?? "").split(",");
    if (!inputs.every((handle) => results.has(handle))) {
      return this.#refuse(response, 409, { attemptId, socket });
    }
    await wait(firstMs);
    if (response.destroyed) return;
    record({ kind: "ran", worker: id, attemptId });
    const head = {
      "content-type": "text/event-stream",
      "x-attempt-id": attemptId,
      "x-response-signature": `s.${id}.${attemptId}`,
    };
    response.writeHead(200, head);
    let body = "";
    for (let i = 1; i <= events && !response.destroyed; i++) {
      const event = `id: ${i}\ndata: ${attemptId}.${i}\n\n`;
      body += event;
      response.write(event);
      if (i < events) await wait(gapMs);
    }
    if (response.destroyed) return;
    response.end();
    this.#lastAnswers.set(socket, undefined);
    if (!this.options.isDoubled()) return;
    const lines = Object.entries(head).map(([name, value]) =>
      `${name}: ${value}\r\n`
    );
    this.#extras.set(socket, {
      of: attemptId,
      bytes: `HTTP/1.1 200 OK\r\n${lines.join("")}` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    });
  }
}
