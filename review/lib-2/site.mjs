/**
 * Starts the project's own gateways as separate processes, with the command and the
 * settings template of the deploy file, on free loopback ports.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { request as openRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";

const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;
const PORTS_PER_GATEWAY = 5;

/** Bounds of the sheets of the small deployments. */
const BOUNDS = {
  repeatRatio: 0.2,
  repeatExtra: 56,
  repeatWindowSeconds: 10,
  coldOverrun: 1.5,
  coldSlack: 5,
  graceSeconds: 8,
  endpointLeaveMs: 2_000,
  configurationMs: 2_000,
  zoneOutMs: 5_000,
  exposureShare: null,
  exposureSlack: null,
};

/** Contracts of the small deployments. */
const CONTRACTS = [
  "base",
  "drain",
  "config",
  "cost",
  "retry",
  "recover",
  "engine",
  "stream",
  "tenants",
  "places",
  "platform",
  "stages",
];

function readCommand() {
  const text = readFileSync("deploy/system.toml", "utf8");
  const words = text.match(/^run = "(.*)"$/m)[1].split(" ");
  return { program: words[0], args: words.slice(1) };
}

async function findPorts(count) {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return server;
  }));
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) server.close();
  return ports;
}

/** The gateways of a site; all of them end with {@link close}. */
export class Gateways {
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #store;
  all = [];

  constructor(store) {
    this.#store = store;
  }

  /** Starts gateways, one for each given zone, and waits until they are ready. */
  async start(zones) {
    const ports = await findPorts(zones.length * PORTS_PER_GATEWAY);
    this.all = zones.map((zone, i) => {
      const [callers, ready, rpc, metrics, relay] = ports
        .slice(i * PORTS_PER_GATEWAY, (i + 1) * PORTS_PER_GATEWAY)
        .map((port) => `127.0.0.1:${port}`);
      const listen = { callers, ready, rpc, metrics, relay };
      return { vmId: `front-${zone}-${i + 1}`, zone, listen };
    });
    const seeds = this.all.slice(0, 3).map(({ listen }) => listen.rpc);
    for (const gateway of this.all) {
      gateway.settingsPath = join(this.#folder, `${gateway.vmId}.json`);
      writeFileSync(
        gateway.settingsPath,
        JSON.stringify({
          vmId: gateway.vmId,
          zone: gateway.zone,
          listen: gateway.listen,
          seeds,
          store: this.#store.address,
          contracts: CONTRACTS,
          processor: { share: 0.675, cores: 1 },
          bounds: BOUNDS,
        }),
      );
      this.startProcess(gateway);
    }
    await this.waitForReady(this.all);
  }

  /** Starts the process of a gateway that has none. */
  startProcess(gateway) {
    const { program, args } = readCommand();
    const log = openSync(join(this.#folder, `${gateway.vmId}.log`), "a");
    gateway.child = spawn(program, args, {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SARDINESTEP_NODE_FILE: gateway.settingsPath,
      },
      stdio: ["ignore", log, log],
    });
    gateway.exited = once(gateway.child, "exit");
  }

  /** Log lines that a gateway has written. */
  readLog({ vmId }) {
    return readFileSync(join(this.#folder, `${vmId}.log`), "utf8");
  }

  async waitForReady(gateways) {
    const until = performance.now() + READY_TIMEOUT_MS;
    for (const { vmId, listen } of gateways) {
      while (await getStatus(listen.ready, "/api/readyz") !== 200) {
        if (performance.now() > until) throw new Error(`${vmId} isn't ready`);
        await wait(READY_POLL_MS);
      }
    }
  }

  /** Ends all gateways that still run, by their ids. */
  async close() {
    for (const { child } of this.all) {
      if (child?.exitCode === null && child.signalCode === null) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
    }
    await Promise.all(this.all.map(({ exited }) => exited));
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, { recursive: true, force: true });
    } else process.stderr.write(`logs: ${this.#folder}\n`);
  }
}

/** Sends a GET request; 0 if there is no answer. */
export function getStatus(address, path) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const sent = openRequest({ host, port, path, agent: false, timeout: 500 });
    sent.on("response", (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    sent.on("timeout", () => sent.destroy());
    sent.on("error", () => resolve(0));
    sent.end();
  });
}

let lastAttempt = 0;

/** A new attempt id, unique in this run. */
export function createAttemptId() {
  lastAttempt += 1;
  return lastAttempt.toString(16).padStart(16, "0");
}

/**
 * Sends one attempt of a client and reads its answer to the end.
 *
 * @returns Status (0 if there is none), headers, body and whether it is whole.
 */
export function sendAttempt(
  address,
  { method = "POST", path, headers, body, agent },
) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const options = {
      host,
      port,
      path,
      method,
      headers,
      agent: agent ?? false,
    };
    const sent = openRequest(options, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => {});
      response.on("close", () =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isWhole: response.complete,
        }));
    });
    sent.on(
      "error",
      () => resolve({ status: 0, headers: {}, body: "", isWhole: false }),
    );
    sent.end(body);
  });
}
