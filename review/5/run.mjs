/**
 * A caller's stream that may run once gets a 503, and a server runs it: the late second
 * copy of the server's own refusal is taken for the answer to the next send.
 */
import { setTimeout as wait } from "node:timers/promises";
import { createAttemptId, Gateways, sendAttempt } from "../lib-2/site.mjs";
import { Record } from "../lib-2/record.mjs";
import { Store } from "../lib-2/store.mjs";
import { ModelWorker, StageWorker } from "../lib-2/workers.mjs";

const HOST = "a.example";
const KEY = "key-1";
/** Time during which callers send, in milliseconds. */
const LOAD_MS = 95_000;
const REQUESTS_PER_S = 140;
/** The disruption: `garble` `extra late`, share 0.6, x 0.03, for_s 5. */
const GARBLE = { share: 0.6, x: 0.03, forMs: 5_000, pauseMs: 1_000 };
const hasTrouble = process.env.TROUBLE !== "0";
const FIGURES = { callMs: 150, itemMs: 3.22, batch: 40, handleS: 4 };
const ENGINE = { slots: 4, queue: 12, firstMs: 20, gapMs: 25, events: 8 };
const ZONES = ["zone-a", "zone-b", "zone-c"];
const GATEWAYS = 9;
const MODEL_WORKERS = 10;
const STAGE_WORKERS = 6;

const seen = new Record();
const { lines, add: record } = seen;

/** Whether the answer that a faulty server writes now is sent a second time. */
function isDoubled() {
  const period = GARBLE.forMs + GARBLE.pauseMs;
  const isOn = performance.now() % period < GARBLE.forMs;
  return hasTrouble && isOn && Math.random() < GARBLE.x;
}

const store = new Store();
await store.start();
const results = new Set();
const stageWorkers = Array.from(
  { length: STAGE_WORKERS },
  (_, i) =>
    new StageWorker({ id: `i-gate-${i}`, ...FIGURES, queue: 2, results }),
);
const modelWorkers = Array.from(
  { length: MODEL_WORKERS },
  (_, i) =>
    new ModelWorker({
      id: `i-draft-${i}`,
      ...ENGINE,
      results,
      record,
      isDoubled: i < GARBLE.share * MODEL_WORKERS ? isDoubled : () => false,
    }),
);
const workers = [...stageWorkers, ...modelWorkers];
for (const worker of workers) await worker.start();

function register(worker, service, slots, index) {
  store.put("keyed.servers", worker.options.id, {
    service,
    address: worker.address,
    zone: ZONES[index % ZONES.length],
    version: "v1",
    slots,
    state: "ready",
    coldRemainingMs: 0,
    sequence: 1,
  });
}
stageWorkers.forEach((worker, i) => register(worker, "gate-log", 1, i));
modelWorkers.forEach((worker, i) =>
  register(worker, "drafter", ENGINE.slots, i)
);
store.put("keyed.op", "config", {
  version: 7,
  routes: [{
    name: "r-draft",
    host: HOST,
    pathPrefix: "/draft/",
    kind: "streaming",
    timeoutMs: 8_000,
    targetLatencyMs: 1_700,
    targetGapMs: 300,
    priority: 0,
    service: "drafter",
    maxAttempts: 1,
    resumable: false,
    public: false,
    sticky: true,
    stages: [{ service: "gate-log", after: [], bytes: 6_000 }],
  }],
  services: [
    { name: "drafter", healthPath: "/healthz", coldStartS: 0, coldPerS: 0 },
    {
      name: "gate-log",
      healthPath: "/healthz",
      coldStartS: 0,
      coldPerS: 0,
      pieces: {
        slots: 1,
        queue: 2,
        batch: FIGURES.batch,
        callMs: FIGURES.callMs,
        itemMs: FIGURES.itemMs,
        headroomMb: 0.7,
        handleS: FIGURES.handleS,
        linkMbps: 10_000,
      },
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: "bozi300", apiKeys: [KEY], priority: 1 }],
});

const gateways = new Gateways(store);
const answers = new Map();

async function sendDraft(index) {
  const attemptId = createAttemptId();
  const { listen, vmId } = gateways.all[index % gateways.all.length];
  const session = (1_000 + Math.floor(Math.random() * 60)).toString(16);
  record({ kind: "sent", attemptId, gateway: vmId });
  const answer = await sendAttempt(listen.callers, {
    path: "/draft/2f",
    headers: {
      host: HOST,
      "x-attempt-id": attemptId,
      "x-model": "m",
      "x-token-usage": "1460,80",
      "x-prompt-prefix": `5c1e07a2:800,${session}:410,${attemptId}:250`,
      "x-pieces": "1",
      "x-piece-key": `k${index}`,
      "x-deadline-ms": "8000",
      authorization: `Bearer ${KEY}`,
    },
    body: "{}",
  });
  answers.set(attemptId, answer);
  record({
    kind: "answered",
    attemptId,
    status: answer.status,
    isWhole: answer.isWhole,
    retryAfter: answer.headers["retry-after"],
    message: answer.status === 200 ? undefined : answer.body,
  });
}

async function runLoad() {
  const until = performance.now() + LOAD_MS;
  const sent = [];
  for (let i = 0; performance.now() < until; i++) {
    sent.push(sendDraft(i));
    // Arrivals of independent callers.
    await wait(-Math.log(1 - Math.random()) * 1_000 / REQUESTS_PER_S);
  }
  await Promise.all(sent);
}

let exitCode = 2;
try {
  await gateways.start(
    Array.from({ length: GATEWAYS }, (_, i) => ZONES[i % ZONES.length]),
  );
  await runLoad();
  // What still runs may show that a refused request runs later.
  await wait(1_000);
  exitCode = judge();
} catch (error) {
  record({ kind: "error", message: String(error.stack ?? error) });
} finally {
  await gateways.close();
  for (const worker of workers) worker.close();
  store.close();
}
seen.write(new URL("record.txt", import.meta.url));
process.exit(exitCode);

/** REFUSED: a 429 or 503 (or 408, 421) promises that the request never runs. */
function judge() {
  const ran = new Set(
    lines.filter(({ kind }) => kind === "ran").map(({ attemptId }) =>
      attemptId
    ),
  );
  const counts = {};
  const broken = [];
  for (const [attemptId, { status }] of answers) {
    counts[status] = (counts[status] ?? 0) + 1;
    const isPromise = [408, 421, 429, 503].includes(status);
    if (isPromise && ran.has(attemptId)) broken.push(attemptId);
  }
  const chances =
    lines.filter((line) => line.connectionHadOwnRefusal === true).length;
  const doubled = lines.filter(({ kind }) => kind === "secondAnswer").length;
  const served = counts[200] ?? 0;
  record({ kind: "verdict", counts, chances, doubled, ran: ran.size, broken });
  process.stdout.write(`${JSON.stringify(lines.at(-1))}\n`);
  if (served === 0) return 2;
  return broken.length > 0 ? 1 : 0;
}
