/** Stand-ins for servers of plain requests and of long streams. */
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

/**
 * Runs requests in some slots, queues a few more, and rejects all others with
 * `X-Not-Executed`. With `events`, its answers are streams.
 */
export class PlainWorker {
  #running = 0;
  #waiting = [];
  #server = createServer({ keepAliveTimeout: 8_000 }, (request, response) => {
    void this.#handle(request, response);
  });

  /**
   * @param options Its id, `slots`, `queue`, `workMs`, for streams `events` and
   * `gapMs`, and `record` for the record.
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

  get #load() {
    return `${this.#running},${this.#waiting.length},${this.options.slots}`;
  }

  async #handle(request, response) {
    const { id, slots, queue, record } = this.options;
    const attemptId = request.headers["x-attempt-id"];
    record({ kind: "arrived", worker: id, attemptId });
    if (await readBody(request) === undefined) return;
    const echo = { "x-attempt-id": attemptId };
    if (request.headers["x-target-instance"] !== id) {
      response.writeHead(421, { ...echo, "x-instance-id": id }).end();
      return;
    }
    if (this.#running >= slots && this.#waiting.length >= queue) {
      record({ kind: "refused", worker: id, attemptId, status: 503 });
      response.writeHead(503, {
        ...echo,
        "x-not-executed": "1",
        "x-server-load": this.#load,
      }).end();
      return;
    }
    if (this.#running >= slots) {
      await new Promise((resolve) => this.#waiting.push(resolve));
    } else this.#running += 1;
    try {
      if (!response.destroyed) await this.#run(response, attemptId);
    } finally {
      const next = this.#waiting.shift();
      if (next === undefined) this.#running -= 1;
      else next();
    }
  }

  async #run(response, attemptId) {
    const { id, workMs, events = 0, gapMs, record } = this.options;
    record({ kind: "ran", worker: id, attemptId });
    await wait(workMs);
    if (response.destroyed) return;
    response.writeHead(200, {
      "content-type": events > 0 ? "text/event-stream" : "text/plain",
      "x-attempt-id": attemptId,
      "x-response-signature": `s.${id}.${attemptId}`,
      "x-server-load": this.#load,
    });
    for (let i = 1; i <= events && !response.destroyed; i++) {
      response.write(`id: ${i}\ndata: ${attemptId}.${i}\n\n`);
      if (i < events) await wait(gapMs);
    }
    if (!response.destroyed) response.end(events > 0 ? "" : attemptId);
  }
}
