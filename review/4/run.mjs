/**
 * A stream that broke off reaches its caller as a complete one: the worker crashed while
 * the gateway stood still, and is back when the gateway asks whether it is alive.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { setTimeout as wait } from "node:timers/promises";
import { Record } from "../lib-2/record.mjs";
import { createAttemptId, Gateways, sendAttempt } from "../lib-2/site.mjs";
import { Store } from "../lib-2/store.mjs";

const HOST = "a.example";
const KEY = "key-1";
const hasTrouble = process.env.TROUBLE !== "0";
/** Rounds of the same events; each begins when the one before is over. */
const ROUNDS = 9;
const REST_MS = 3_000;
/** The sheet's `haulier-reply`: 93 events, aim 1,600 ms, pauses 400 ms, 15 s. */
const STREAM = { events: 93, gapMs: 70 };
/** Streams of a round: connections are spread unevenly over the gateways. */
const STREAMS = { first: 80, others: 10, everyMs: 8 };
const GATEWAYS = 9;
const WORKERS = 4;
/** Two of four workers leave the length out of 1 in 20 streams. */
const UNFRAMED = { workers: 2, share: 0.05 };
/** `node_freeze`, for_s 3.5: one of nine gateways, from this time of a round on. */
const FREEZE = { atMs: 2_300, forMs: 3_500 };
/** `srv_crash`, for_s 2: one of four workers. */
const CRASH = { atMs: 3_000, forMs: 2_000 };
const COLD_MS = 3_000;

const seen = new Record();
const { lines, add: record } = seen;
const store = new Store();
await store.start();

/** Starts a worker's process; it keeps its id, and its port after the first start. */
async function startWorker(worker, coldMs = 0) {
  worker.child = spawn(process.execPath, [
    new URL("../lib-2/stream_worker.mjs", import.meta.url).pathname,
    String(worker.port ?? 0),
    worker.id,
    String(STREAM.events),
    String(STREAM.gapMs),
    String(worker.unframedShare),
  ], { stdio: ["ignore", "pipe", "inherit"] });
  worker.exited = once(worker.child, "exit");
  const output = createInterface({ input: worker.child.stdout });
  worker.port = await new Promise((resolve) =>
    output.on("line", (line) => {
      const [kind, value, detail] = line.split(" ");
      if (kind === "listening") return resolve(Number(value));
      record({ kind, attemptId: value, worker: worker.id, detail });
    })
  );
  store.put("keyed.servers", worker.id, {
    service: "drafter",
    address: `127.0.0.1:${worker.port}`,
    zone: "zone-a",
    version: "v1",
    slots: 64,
    state: "ready",
    coldRemainingMs: coldMs,
    born: Date.now(),
    sequence: 1,
  });
  record({ kind: "started", worker: worker.id });
}

const workers = Array.from({ length: WORKERS }, (_, i) => ({
  id: `i-draft-${i}`,
  unframedShare: i < UNFRAMED.workers ? UNFRAMED.share : 0,
}));
for (const worker of workers) await startWorker(worker);
store.put("keyed.op", "config", {
  version: 7,
  routes: [{
    name: "r-reply",
    host: HOST,
    pathPrefix: "/reply/",
    kind: "streaming",
    timeoutMs: 15_000,
    targetLatencyMs: 1_600,
    targetGapMs: 400,
    priority: 2,
    service: "drafter",
    maxAttempts: 1,
    resumable: false,
    public: false,
    sticky: true,
  }],
  services: [{
    name: "drafter",
    healthPath: "/healthz",
    coldStartS: 3,
    coldPerS: 8.2,
  }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: "bozi300", apiKeys: [KEY], priority: 1 }],
});

const gateways = new Gateways(store);

async function sendReply({ listen, vmId }) {
  const attemptId = createAttemptId();
  const session = (1_000 + Math.floor(Math.random() * 200)).toString(16);
  record({ kind: "sent", attemptId, gateway: vmId });
  const { status, isWhole, body } = await sendAttempt(listen.callers, {
    path: "/reply/2f",
    headers: {
      host: HOST,
      "x-attempt-id": attemptId,
      "x-model": "m",
      "x-token-usage": "543,279",
      "x-prompt-prefix": `5c1e07a2:103,${session}:69,${attemptId}:371`,
      "x-deadline-ms": "15000",
      authorization: `Bearer ${KEY}`,
    },
    body: "{}",
  });
  const events = body.split("\n\n").length - 1;
  record({ kind: "answered", attemptId, status, isWhole, events });
}

async function freeze({ child, vmId }) {
  await wait(FREEZE.atMs);
  record({ kind: "SIGSTOP", gateway: vmId });
  child.kill("SIGSTOP");
  await wait(FREEZE.forMs);
  record({ kind: "SIGCONT", gateway: vmId });
  child.kill("SIGCONT");
}

async function crash(worker) {
  await wait(CRASH.atMs);
  record({ kind: "SIGKILL", worker: worker.id });
  worker.child.kill("SIGKILL");
  await worker.exited;
  await wait(CRASH.forMs);
  // It starts again under the id that it had, before its entry has lapsed.
  await startWorker(worker, COLD_MS);
}

async function runRound() {
  const [first, ...others] = gateways.all;
  const sent = [];
  const troubles = hasTrouble ? [freeze(first), crash(workers[0])] : [];
  for (let i = 0; i < STREAMS.first; i++) {
    sent.push(sendReply(first));
    if (i < STREAMS.others) sent.push(...others.map(sendReply));
    await wait(STREAMS.everyMs);
  }
  await Promise.all([...sent, ...troubles]);
  await wait(REST_MS);
}

let exitCode = 2;
try {
  await gateways.start(Array.from({ length: GATEWAYS }, () => "zone-a"));
  for (let round = 0; round < ROUNDS; round++) await runRound();
  exitCode = judge();
} catch (error) {
  record({ kind: "error", message: String(error.stack ?? error) });
} finally {
  await gateways.close();
  for (const { child } of workers) child.kill("SIGKILL");
  store.close();
}
seen.write(new URL("record.txt", import.meta.url));
process.exit(exitCode);

/** ORDER: a stream ends as complete before its last piece. */
function judge() {
  const answers = lines.filter(({ kind }) => kind === "answered");
  const complete = answers.filter(({ status, isWhole }) =>
    status === 200 && isWhole
  );
  const short = complete.filter(({ events }) => events < STREAM.events);
  record({
    kind: "verdict",
    answers: answers.length,
    complete: complete.length,
    short: short.map(({ attemptId, events }) => `${attemptId}:${events}`),
  });
  process.stdout.write(`${JSON.stringify(lines.at(-1))}\n`);
  if (answers.every(({ status }) => status !== 200)) return 2;
  return short.length > 0 ? 1 : 0;
}
