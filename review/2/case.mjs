/**
 * A VM restarts while a zone is evacuated. One packet with the VM's first listing of
 * the operator's records is lost and sent again. The VM may send nothing more to the
 * zone's workers once the evacuation has been acknowledged for `evacuateMs`.
 */
import { Caller, createAttemptId } from "../lib/callers.mjs";
import { Gateways, wait } from "../lib/gateways.mjs";
import { Link } from "../lib/link.mjs";
import { Record } from "../lib/record.mjs";
import { Store } from "../lib/store.mjs";
import { PlainWorker } from "../lib/workers.mjs";

const EXIT = { held: 0, broken: 1, notRun: 2 };
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ZONES = ["obb-a", "obb-b", "obb-b"];
const EVACUATED = "obb-b";
const HOST = "jepu9.example";
const KEY = "9dnn2ctnfzs989anu6ws";
const EVACUATE_MS = 5_000;
/** The least retransmission timeout of TCP is 200 ms. */
const RETRANSMISSION_MS = 250;
const OBSERVE_MS = 2_500;
const ROUNDS = 6;
const PER_SECOND = 25;
const CONFIGURATION = {
  version: 3,
  routes: [{
    name: "lookup",
    host: HOST,
    pathPrefix: "/lookup/",
    service: "desk",
    kind: "safe",
    timeoutMs: 1_000,
    targetLatencyMs: 150,
    maxAttempts: 2,
    priority: 2,
  }],
  services: [
    { name: "desk", healthPath: "/healthz", coldStartS: 0, coldPerS: 0 },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 2_000,
    idleTimeoutMs: 10_000,
  },
  tenants: [{ name: "bozi300", apiKeys: [KEY] }],
};

const record = new Record("review/2/record.txt");
const store = new Store();
const gateways = new Gateways();
const caller = new Caller();
const workers = [];
let link;
/** When the evacuation in force was acknowledged, on the record's clock. */
let evacuatedMs;
const counts = { sent: 0, served: 0, late: 0, rounds: 0, lostPackets: 0 };

let code = EXIT.notRun;
try {
  code = await runCase();
} catch (error) {
  record.write(`could not run: ${error.stack}`);
  console.error(error);
} finally {
  await gateways.stopAll();
  for (const worker of workers) worker.close();
  link?.close();
  caller.close();
  store.close();
  await record.close();
}
process.exit(code);

async function runCase() {
  const storeAddress = await store.start();
  store.put("keyed.op", "config", CONFIGURATION);
  for (const [i, zone] of ["obb-a", "obb-a", "obb-b", "obb-b"].entries()) {
    const worker = new PlainWorker({
      id: `i-desk-${i}`,
      service: "desk",
      zone,
      store,
      record,
      workMs: 30,
      handleRun,
    });
    workers.push(worker);
    await worker.start();
  }
  link = new Link(storeAddress);
  const linkAddress = await link.start();
  const vms = await gateways.plan(ZONES);
  const restarted = vms.find(({ zone }) => zone === EVACUATED);
  for (const vm of vms) {
    gateways.start(vm, vm === restarted ? linkAddress : storeAddress);
  }
  for (const vm of vms) await gateways.waitUntilReady(vm);
  await wait(2_000);
  while (counts.rounds < ROUNDS && counts.late === 0) {
    await playRound(restarted);
  }
  const summary = `${counts.rounds} rounds, ${counts.sent} requests, ` +
    `${counts.served} served, ${counts.lostPackets} packets lost; ` +
    `${counts.late} requests reached the evacuated zone too late`;
  record.write(summary);
  console.log(summary);
  if (counts.served === 0) return EXIT.notRun;
  return counts.late > 0 ? EXIT.broken : EXIT.held;
}

/** One planned restart of a VM, with an evacuation of its zone at its start. */
async function playRound(vm) {
  counts.rounds += 1;
  record.write(`SIGTERM to ${vm.node}`);
  vm.child.kill("SIGTERM");
  await vm.child.exited;
  const evacuated = new Promise((done) => {
    link.planDelay = (asked) => {
      if (!asked.includes("/api/log-newest?topic=keyed.op")) return 0;
      link.planDelay = () => 0;
      // The listing holds what the store had before.
      setTimeout(() => done(evacuate()), 10);
      if (!HAS_TROUBLE) return 0;
      counts.lostPackets += 1;
      record.write("lost: the packet with the listing; sent again later");
      return RETRANSMISSION_MS;
    };
  });
  gateways.start(vm);
  record.write(`${vm.node} starts again`);
  await evacuated;
  await gateways.waitUntilReady(vm);
  await sendRequests(vm, EVACUATE_MS + OBSERVE_MS);
  evacuatedMs = undefined;
  store.put("keyed.op", `evacuate/${EVACUATED}`);
  record.write(`evacuation of ${EVACUATED} is taken back`);
  await wait(1_500);
}

function evacuate() {
  store.put("keyed.op", `evacuate/${EVACUATED}`, {});
  evacuatedMs = record.nowMs;
  record.write(`evacuation of ${EVACUATED} is acknowledged`);
}

async function sendRequests(vm, forMs) {
  const until = performance.now() + forMs;
  const running = [];
  while (performance.now() < until) {
    running.push(sendRequest(vm));
    await wait(1_000 / PER_SECOND);
  }
  await Promise.all(running);
}

async function sendRequest(vm) {
  const id = createAttemptId();
  counts.sent += 1;
  record.write(`sent ${id} to ${vm.node}`);
  const answer = await caller.send(vm.front, {
    id,
    host: HOST,
    path: `/lookup/${id}`,
    method: "GET",
    headers: { "x-deadline-ms": "1000", authorization: `Bearer ${KEY}` },
  });
  if (answer.status === 200 && answer.isWhole) counts.served += 1;
  record.write(`answered ${id} ${answer.status}`);
}

function handleRun(worker, id) {
  record.write(`ran ${worker.id} in ${worker.zone} ${id}`);
  if (evacuatedMs === undefined || worker.zone !== EVACUATED) return;
  const afterMs = record.nowMs - evacuatedMs;
  if (afterMs <= EVACUATE_MS) return;
  counts.late += 1;
  record.write(
    `EVAC ${id} reaches ${worker.id} ${Math.round(afterMs)} ms after the ` +
      "acknowledgement",
  );
}
