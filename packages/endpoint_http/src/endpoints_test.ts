import * as fakes from "@sardinestep/fakes";
import * as contract from "@sardinestep/ports/contract";
import type { StageCall } from "@sardinestep/ports";
import { waitFor } from "@sardinestep/testbed";
import { expect } from "chai";
import { match } from "ts-pattern";
import { type HttpEndpointsOptions, openHttpEndpoints } from "./mod.ts";

function planFaults(fault: contract.EndpointFault): fakes.EndpointFaults {
  return match<contract.EndpointFault, fakes.EndpointFaults>(fault)
    .with({ kind: "none" }, () => ({ outage: "none" }))
    .with({ kind: "down" }, () => ({ outage: "refuse" }))
    .with({ kind: "hang" }, () => ({ outage: "hang" }))
    .with({ kind: "reset" }, () => ({ outage: "reset" }))
    .with({ kind: "refuse_next" }, () => ({ refuse: 1 }))
    .with({ kind: "rate_limit_next" }, () => ({ rateLimit: 1 }))
    .with({ kind: "fail_next" }, () => ({ fail: 1 }))
    .with({ kind: "lose_next_answer" }, () => ({ loseAnswer: 1 }))
    .with({ kind: "silence" }, () => ({ silentConnections: true }))
    .with({ kind: "restart" }, () => ({ restart: true }))
    .with({ kind: "duplicate_parts" }, () => ({ duplicateParts: true }))
    .with({ kind: "reorder_parts" }, () => ({ reorderParts: true }))
    .with({ kind: "foreign_parts" }, () => ({ foreignParts: true }))
    .with({ kind: "end_without_last" }, () => ({ endWithoutLast: true }))
    .with({ kind: "cut_stream" }, ({ after, forGood }) => ({
      cutStreamAfter: after,
      faultResumes: forGood,
    }))
    .exhaustive();
}

async function openWorld(
  role: StageCall["role"],
  options: HttpEndpointsOptions = {},
) {
  const endpoint = await fakes.startFakeEndpoint({
    role,
    warmConcurrency: 64,
    serviceMs: 1,
    partMs: 1,
  });
  const port = openHttpEndpoints(options);
  const buildCall = (callId: string): StageCall => ({
    endpointId: endpoint.settings.endpointId,
    role,
    address: endpoint.address,
    callId,
    operation: role === "service" ? "issue" : "",
    key: `key-${callId}`,
    input: { text: `input of ${callId}` },
    priority: 1,
    progressTimeoutMs: contract.PATIENT_MS,
    freshConnection: false,
  });
  const close = async () => {
    await port.close();
    await endpoint.close();
  };
  return { endpoint, port, buildCall, close };
}

async function openBench(
  role: StageCall["role"],
): Promise<contract.EndpointBench> {
  const { endpoint, ...world } = await openWorld(role);
  return {
    ...world,
    setFault: (fault) => endpoint.setFaults(planFaults(fault)),
    countRuns: () => endpoint.runCounts.total,
    countCancelled: () => endpoint.getCounters().cancelled,
  };
}

contract.addEndpointContract("endpoint_http", openBench);
contract.addStreamContract("endpoint_http", openBench);

describe("HTTP endpoints", () => {
  const open: (() => Promise<void>)[] = [];

  async function openTracked(...args: Parameters<typeof openWorld>) {
    const world = await openWorld(...args);
    open.push(world.close);
    return world;
  }

  // A failed case too must leave nothing that keeps mocha from ending.
  afterEach(async () => {
    for (const close of open.splice(0)) await close();
  });

  // An endpoint restarts without a word and is cold, but it is sent full load:
  // nobody noticed that all its connections had broken at once.
  it("tells once that all connections to an address broke", async () => {
    const broken: string[] = [];
    const world = await openTracked("service", {
      onDisconnect: (address) => broken.push(address),
    });
    const calls = ["a", "b", "c"].map((id) =>
      world.port.call(world.buildCall(id))
    );
    await Promise.all(calls);
    world.endpoint.startAgain();
    const answer = await world.port.call({
      ...world.buildCall("d"),
      freshConnection: true,
    });
    expect(answer.unwrap().instance).to.equal(world.endpoint.instance);
    await waitFor(() => broken.length > 0, { what: "news of the break" });
    expect(broken).to.deep.equal([world.endpoint.address]);
  });

  // Calls stop one after the other until none gets through: each forgotten
  // connection stays in the pool for good, and the pool is bounded.
  it("replaces a silent connection although the pool is full", async () => {
    const world = await openTracked("service", { connectionsPerAddress: 1 });
    (await world.port.call(world.buildCall("a"))).unwrap();
    await world.endpoint.setFaults({ silentConnections: true });
    const progressTimeoutMs = contract.IMPATIENT_MS;
    const call = { ...world.buildCall("b"), progressTimeoutMs };
    const silent = await world.port.call(call);
    expect(silent.isErr() && silent.error.kind).to.equal("timeout");
    (await world.port.call(world.buildCall("c"))).unwrap();
  });

  // A stopping entry closes its adapter; a stream that it gives up must not be
  // taken up again on new connections, which would keep the process alive.
  it("sends nothing more once it is closed", async () => {
    const world = await openTracked("generator");
    const result = await world.port.call(world.buildCall("a"), {
      onPart: (part) => {
        if (part.sequence === 2) void world.port.close();
      },
    });
    expect(result.isErr() && result.error.kind).to.equal("answer_lost");
    const later = await world.port.call(world.buildCall("b"));
    expect(later.isErr() && later.error.kind).to.equal("not_sent");
    const { calls, resumed } = world.endpoint.getCounters();
    expect({ calls, resumed }).to.deep.equal({ calls: 1, resumed: 0 });
  });

  it("counts what it dropped and put in order", async () => {
    const world = await openTracked("generator");
    await world.endpoint.setFaults({
      duplicateParts: true,
      reorderParts: true,
      foreignParts: true,
      cutStreamAfter: 4,
    });
    (await world.port.call(world.buildCall("a"))).unwrap();
    const counters = world.port.getCounters();
    expect(counters.foreignParts).to.be.greaterThan(0);
    expect(counters.doubledParts).to.be.greaterThan(0);
    expect(counters.reorderedParts).to.be.greaterThan(0);
    expect(counters.resumes).to.equal(1);
    expect(counters.brokenStreams).to.equal(1);
  });

  // A call waits for one of few connections until its time is up. It was never
  // written, so "not sent" is true, and it must stay true when one gets free.
  it("never sends a call that was given up while it waited", async () => {
    const world = await openTracked("service", { connectionsPerAddress: 1 });
    await world.endpoint.setFaults({ outage: "hang" });
    const progressTimeoutMs = contract.PATIENT_MS;
    const controller = new AbortController();
    const { signal } = controller;
    const first = world.port.call(
      { ...world.buildCall("a"), progressTimeoutMs },
      { signal },
    );
    const second = await world.port.call({
      ...world.buildCall("b"),
      progressTimeoutMs: contract.IMPATIENT_MS,
    });
    expect(second.isErr() && second.error.kind).to.equal("not_sent");
    await world.endpoint.setFaults({ outage: "none" });
    controller.abort();
    await first;
    (await world.port.call(world.buildCall("c"))).unwrap();
    const ran = Object.keys(world.endpoint.runCounts.getAll());
    expect(ran).to.deep.equal(["key-c"]);
  });
});
