/**
 * The contract of the endpoint port: plain services, load reports and orders.
 * Streams have a contract of their own.
 *
 * @module
 */
import { expect } from "chai";
import type { EndpointPort, StageCall } from "../endpoint.ts";
import type { PortErrorKind } from "../error.ts";
import {
  addCases,
  type Bench,
  type ContractCase,
  expectError,
  expectTruth,
  IMPATIENT_MS,
  type OpenBench,
  PATIENT_MS,
} from "./bench.ts";

/** Faults of an endpoint under the contract. */
export type EndpointFault =
  | { readonly kind: "none" }
  | { readonly kind: "down" }
  | { readonly kind: "hang" }
  | { readonly kind: "reset" }
  /** The next call is refused before it runs. */
  | { readonly kind: "refuse_next" }
  | { readonly kind: "rate_limit_next" }
  /** The next call runs and fails. */
  | { readonly kind: "fail_next" }
  /** The next call runs and its answer is lost. */
  | { readonly kind: "lose_next_answer" }
  /** Open connections go silent for good; new ones work. */
  | { readonly kind: "silence" }
  /** It restarts: a new instance, all calls and connections lost. */
  | { readonly kind: "restart" }
  | { readonly kind: "duplicate_parts" }
  | { readonly kind: "reorder_parts" }
  /** Parts of another call come in between; whole answers are another's. */
  | { readonly kind: "foreign_parts" }
  | { readonly kind: "end_without_last" }
  /** Streams break after so many parts, resumed ones only `forGood`. */
  | {
    readonly kind: "cut_stream";
    readonly after: number;
    readonly forGood: boolean;
  };

/** An endpoint under the contract. */
export interface EndpointBench extends Bench<EndpointPort, EndpointFault> {
  /** A call of the endpoint with that id, patient and on a pooled connection. */
  buildCall(callId: string): StageCall;
  /** How many calls ran, by the endpoint's own count. */
  countRuns(): number;
  /** How many calls it cancelled on this side's wish. */
  countCancelled(): number;
}

/** Opens an endpoint of a role. */
export type OpenEndpointBench = (
  role: StageCall["role"],
) => Promise<EndpointBench>;

interface FaultRow {
  readonly fault: EndpointFault;
  readonly expected: PortErrorKind;
  readonly runs: number;
  readonly progressTimeoutMs?: number;
}

const FAULT_ROWS: readonly FaultRow[] = [
  { fault: { kind: "down" }, expected: "not_sent", runs: 0 },
  { fault: { kind: "reset" }, expected: "answer_lost", runs: 0 },
  { fault: { kind: "refuse_next" }, expected: "refused", runs: 0 },
  { fault: { kind: "rate_limit_next" }, expected: "rate_limited", runs: 0 },
  { fault: { kind: "fail_next" }, expected: "answer_lost", runs: 1 },
  { fault: { kind: "lose_next_answer" }, expected: "answer_lost", runs: 1 },
  { fault: { kind: "foreign_parts" }, expected: "bad_answer", runs: 1 },
  {
    fault: { kind: "hang" },
    expected: "timeout",
    runs: 0,
    progressTimeoutMs: IMPATIENT_MS,
  },
];

const CONNECTIONS = [
  { name: "pooled", freshConnection: false },
  { name: "fresh", freshConnection: true },
] as const;

const SERVICE_CASES: readonly ContractCase<EndpointBench>[] = [
  { name: "answers with call, instance and cost", run: checkAnswer },
  { name: "keeps many calls at once apart", run: checkManyCalls },
  { name: "sends nothing once cancelled", run: checkCancelledEarly },
  { name: "proves the path anew on a fresh connection", run: checkFreshPath },
  { name: "never uses a silent connection again", run: checkSilent },
  { name: "shows a restart by a new instance", run: checkRestart },
  { name: "reports its load under its own id", run: checkLoad },
  { name: "refuses the report of another endpoint", run: checkForeignLoad },
  ...CONNECTIONS.flatMap(({ name, freshConnection }) =>
    FAULT_ROWS.map((row) => ({
      name: `${name} call under "${row.fault.kind}" is "${row.expected}"`,
      run: (bench: EndpointBench) =>
        checkCallFault(bench, { row, freshConnection }),
    }))
  ),
];

const ENGINE_CASES: readonly ContractCase<EndpointBench>[] = [
  { name: "takes an order and reads it back", run: checkOrder },
  { name: "hears of an old fencing number", run: checkOldOrder },
];

/**
 * Adds the contract's cases to the running mocha suite.
 *
 * @param name The adapter's name.
 * @param openBench Opens the adapter with an endpoint that is warm and checks
 *   fencing numbers.
 * @example
 * ```ts
 * addEndpointContract("endpoint_http", openHttpEndpointBench);
 * ```
 */
export function addEndpointContract(
  name: string,
  openBench: OpenEndpointBench,
): void {
  describe(`endpoint contract, plain service: ${name}`, () => {
    addCases(SERVICE_CASES, buildOpenBench(openBench, "service"));
  });
  describe(`endpoint contract, model engine: ${name}`, () => {
    addCases(ENGINE_CASES, buildOpenBench(openBench, "encoder"));
  });
}

function buildOpenBench(
  openBench: OpenEndpointBench,
  role: StageCall["role"],
): OpenBench<EndpointBench> {
  return () => openBench(role);
}

async function checkAnswer({ port, buildCall }: EndpointBench): Promise<void> {
  const answer = (await port.call(buildCall("c-1"))).unwrap();
  expect(answer.callId).to.equal("c-1");
  expect(answer.instance).to.be.a("string").that.is.not.empty;
  expect(answer.workerMs).to.be.at.least(0);
}

async function checkManyCalls(bench: EndpointBench): Promise<void> {
  const ids = Array.from({ length: 50 }, (_, index) => `c-${index}`);
  const results = await Promise.all(
    ids.map((id) => bench.port.call(bench.buildCall(id))),
  );
  const answered = results.map((result) => result.unwrap().callId);
  expect(answered).to.deep.equal(ids);
  expect(bench.countRuns()).to.equal(ids.length);
}

async function checkCancelledEarly(bench: EndpointBench): Promise<void> {
  const signal = AbortSignal.abort();
  const result = await bench.port.call(bench.buildCall("c-1"), { signal });
  expectError(result, "not_sent");
  expect(bench.countRuns()).to.equal(0);
}

// A haulier waits at the gate although the service is well: something between
// the two ends has forgotten the open connection. A call that may not be
// repeated must find out before its first byte is sent.
async function checkFreshPath(bench: EndpointBench): Promise<void> {
  (await bench.port.call(bench.buildCall("c-1"))).unwrap();
  await bench.setFault({ kind: "silence" });
  const call = { ...bench.buildCall("c-2"), freshConnection: true };
  const answer = (await bench.port.call(call)).unwrap();
  expect(answer.callId).to.equal("c-2");
}

// The first call on the forgotten connection times out; if the connection went
// back to the pool, every later call would time out as well.
async function checkSilent(bench: EndpointBench): Promise<void> {
  (await bench.port.call(bench.buildCall("c-1"))).unwrap();
  // One turn of the loop, in which a pool takes the connection back.
  await new Promise((resolve) => setImmediate(resolve));
  await bench.setFault({ kind: "silence" });
  const progressTimeoutMs = IMPATIENT_MS;
  const call = { ...bench.buildCall("c-2"), progressTimeoutMs };
  expectError(await bench.port.call(call), "timeout");
  (await bench.port.call(bench.buildCall("c-3"))).unwrap();
}

async function checkRestart(bench: EndpointBench): Promise<void> {
  const before = (await bench.port.call(bench.buildCall("c-1"))).unwrap();
  await bench.setFault({ kind: "restart" });
  const call = { ...bench.buildCall("c-2"), freshConnection: true };
  const after = (await bench.port.call(call)).unwrap();
  expect(after.instance).to.not.equal(before.instance);
}

async function checkLoad({ port, buildCall }: EndpointBench): Promise<void> {
  const { endpointId, address } = buildCall("c-1");
  const sentAt = Date.now();
  const result = await port.readLoad(endpointId, address, PATIENT_MS);
  const report = result.unwrap();
  expect(report.endpointId).to.equal(endpointId);
  expect(report.state).to.equal("warm");
  expect(report.running).to.equal(0);
  expect(report.measuredAt).to.be.at.most(sentAt + PATIENT_MS);
}

async function checkForeignLoad(bench: EndpointBench): Promise<void> {
  const { address } = bench.buildCall("c-1");
  const result = await bench.port.readLoad("another", address, PATIENT_MS);
  expectError(result, "bad_answer");
}

// A caller is told "not run" and sends its ticket again, but the first one had
// run: the adapter took a broken answer for a refusal.
async function checkCallFault(
  bench: EndpointBench,
  options: { readonly row: FaultRow; readonly freshConnection: boolean },
): Promise<void> {
  const { row, freshConnection } = options;
  await bench.setFault(row.fault);
  const { progressTimeoutMs = PATIENT_MS } = row;
  const call = {
    ...bench.buildCall("c-1"),
    freshConnection,
    progressTimeoutMs,
  };
  const error = expectError(await bench.port.call(call), row.expected);
  expect(bench.countRuns()).to.equal(row.runs);
  expectTruth(error, row.runs);
}

function buildOrder(version: string, fencing: number) {
  return { wanted: { model: "m", version, role: "encoder" }, fencing } as const;
}

async function checkOrder({ port, buildCall }: EndpointBench): Promise<void> {
  const { address } = buildCall("c-1");
  const order = buildOrder("1", 7);
  const result = await port.sendOrder(address, order, PATIENT_MS);
  expect(result.unwrap()).to.deep.equal(order);
}

async function checkOldOrder(
  { port, buildCall }: EndpointBench,
): Promise<void> {
  const { address } = buildCall("c-1");
  await port.sendOrder(address, buildOrder("2", 7), PATIENT_MS);
  const old = await port.sendOrder(address, buildOrder("1", 6), PATIENT_MS);
  expectError(old, "refused");
}
