/**
 * Stand-ins for stage workers, model workers and plain workers, with the calls that
 * the users' pages describe. Each registers itself in the store and beats there.
 */
import { createServer } from "node:http";
import { randomBytes } from "node:crypto";
import { wait } from "./gateways.mjs";

const HEARTBEAT_MS = 1_200;

/** A worker's listener, identity and registration. */
class Worker {
  #server;
  #timer;
  #sequence = 0;
  address = "";
  state = "ready";
  /** Whether it has crashed; then it resets what arrives. */
  isDown = false;
  /** Unix time until which the worker is cold. */
  coldUntil = 0;

  constructor({ id, service, zone, slots, store, record }) {
    Object.assign(this, { id, service, zone, slots, store, record });
    this.born = Date.now();
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  async start() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.beat();
    this.#timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Writes this worker's entry. */
  beat() {
    this.#sequence += 1;
    this.store.put("keyed.servers", this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      coldRemainingMs: Math.max(0, Math.round(this.coldUntil - Date.now())),
      sequence: this.#sequence,
      born: this.born,
    });
  }

  /** Resets all connections, as a crash does. */
  resetConnections() {
    this.#server.closeAllConnections();
  }

  /** Ends the heartbeats; the worker goes on to serve. */
  stopBeats() {
    clearInterval(this.#timer);
  }

  close() {
    this.stopBeats();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(request, response) {
    if (this.isDown) return void request.socket.resetAndDestroy();
    this.handleArrival(request);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const target = request.headers["x-target-instance"];
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, { "x-instance-id": this.id }).end();
      return;
    }
    await this.serve(request, response, Buffer.concat(chunks).toString());
  }

  handleArrival() {}
}

/** What stage workers made, by handle: shared by all workers of a site. */
export class Results {
  #made = new Map();

  add(handle, origin) {
    this.#made.set(handle, origin);
  }

  free(handle) {
    const made = this.#made.get(handle);
    if (made !== undefined) made.isGone = true;
  }

  /** The same also for a result that is gone. */
  findAny(handle) {
    return this.#made.get(handle);
  }

  /** The request, stage and piece of a result that still exists. */
  find(handle) {
    const made = this.#made.get(handle);
    return made === undefined || made.isGone ? undefined : made;
  }
}

/** Works one call at a time, with a short queue. */
export class StageWorker extends Worker {
  #queue = [];
  #isWorking = false;
  #answered = 0;
  #extraBySocket = new WeakMap();
  /** Counts of answers and of late extra answers while the fault is on. */
  faulty = { answers: 0, extras: 0, isOn: false };

  constructor(options) {
    super({ ...options, slots: 1 });
    const { results, pool, checkInputs, extraEvery } = options;
    Object.assign(this, { results, pool, checkInputs, extraEvery });
  }

  /** A faulty worker sends a second copy where the next answer is expected. */
  handleArrival({ socket, url }) {
    const extra = this.#extraBySocket.get(socket);
    if (extra === undefined || url !== "/api/stage-run") return;
    this.#extraBySocket.delete(socket);
    this.faulty.extras += 1;
    this.record.write(
      `extra ${this.id} sends its answer a second time: ${extra.items}`,
    );
    socket.write(extra.bytes);
  }

  serve(request, response, text) {
    switch (request.url) {
      case "/api/stage-free":
        for (const handle of JSON.parse(text).handles) {
          this.results.free(handle);
        }
        return void response.writeHead(200, { "content-length": 0 }).end();
      case "/api/stage-run":
        return this.#queueCall(request, response, JSON.parse(text).items);
      default:
        return void response.writeHead(404).end();
    }
  }

  #queueCall(request, response, items) {
    if (this.#queue.length >= 2) {
      response.writeHead(503, { "x-not-executed": "1", "content-length": 0 });
      return void response.end();
    }
    this.#queue.push({ request, response, items });
    this.#work();
  }

  async #work() {
    if (this.#isWorking) return;
    this.#isWorking = true;
    for (let call = this.#queue.shift(); call; call = this.#queue.shift()) {
      if (!call.request.socket.destroyed) await this.#run(call);
    }
    this.#isWorking = false;
  }

  async #run({ request, response, items }) {
    const checked = items.map((item) => this.checkInputs(this, item));
    await wait(this.pool.callMs + items.length * this.pool.itemMs);
    const made = items.map((item, i) => {
      if (checked[i] !== undefined) return { reason: checked[i] };
      const handle = `${this.address}/${randomBytes(6).toString("hex")}`;
      const { id, stage, piece } = item;
      this.results.add(handle, { id, stage, piece, inputs: item.inputs ?? [] });
      setTimeout(() => this.results.free(handle), 1_000 * this.pool.handleS)
        .unref();
      return { handle };
    });
    const names = items.map(({ id, stage, piece }) =>
      `${id}/${stage}/${piece}`
    );
    this.record.write(`ran ${this.id} ${names.join(" ")}`);
    this.#answer(request, response, { made, names });
  }

  #answer(request, response, { made, names }) {
    const body = JSON.stringify({ items: made });
    const id = request.headers["x-attempt-id"];
    const headers = {
      "Content-Type": "application/json",
      "Content-Length": String(Buffer.byteLength(body)),
      "X-Server-Load": `0,${this.#queue.length},1`,
      ...(id === undefined ? {} : { "X-Attempt-Id": id }),
    };
    response.writeHead(200, headers).end(body);
    if (!this.faulty.isOn || this.extraEvery === undefined) return;
    this.#answered += 1;
    this.faulty.answers += 1;
    if (this.#answered % this.extraEvery !== 0) return;
    const lines = Object.entries(headers).map(([name, value]) =>
      `${name}: ${value}\r\n`
    );
    this.#extraBySocket.set(request.socket, {
      bytes: `HTTP/1.1 200 OK\r\n${lines.join("")}\r\n${body}`,
      items: names.join(" "),
    });
  }
}

/** Streams a few events, as a model worker does. */
export class ModelWorker extends Worker {
  constructor(options) {
    super({ ...options, slots: 64 });
    const { results, checkInputs, model, handleRun } = options;
    Object.assign(this, { results, checkInputs, model, handleRun });
  }

  async serve(request, response) {
    const { headers } = request;
    const id = headers["x-attempt-id"];
    this.handleRun?.(this, id);
    const inputs = (headers["x-inputs"] ?? "").split(",").filter(Boolean);
    const refusal = this.checkInputs(this, { id, inputs, headers });
    if (refusal !== undefined) {
      response.writeHead(refusal, {
        "x-attempt-id": id,
        "x-not-executed": "1",
        "content-length": 0,
      });
      return void response.end();
    }
    const sources = inputs.map((handle) => this.findSource(handle));
    await wait(this.model.firstMs);
    if (response.destroyed) return;
    this.record.write(`ran ${this.id} ${id}`);
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-attempt-id": id,
      "x-response-signature": `s.${this.id}.${id}`,
      "x-server-load": "1,0,64",
    });
    for (let event = 1; event <= this.model.events; event++) {
      const data = event === 1 ? `made from ${sources.join(" ")}` : "text";
      response.write(`id: ${event}\ndata: ${data}\n\n`);
      await wait(this.model.gapMs);
      if (response.destroyed) return;
    }
    response.end();
  }

  /** Ids of the requests from which a result was made, at any stage. */
  findSource(handle) {
    const made = this.results.findAny(handle);
    const earlier = made.inputs.map((input) => this.results.findAny(input)?.id);
    return [...new Set([made.id, ...earlier])].join("+");
  }
}

/** Answers plain requests after a fixed time. */
export class PlainWorker extends Worker {
  constructor(options) {
    super({ ...options, slots: 6 });
    const { workMs, handleRun } = options;
    Object.assign(this, { workMs, handleRun });
  }

  async serve(request, response) {
    const id = request.headers["x-attempt-id"];
    this.handleRun(this, id);
    await wait(this.workMs);
    const body = `answer to ${id}`;
    response.writeHead(200, {
      "content-length": Buffer.byteLength(body),
      "x-attempt-id": id,
      "x-response-signature": `s.${this.id}.${id}`,
      "x-server-load": "1,0,6",
    });
    response.end(body);
  }
}
