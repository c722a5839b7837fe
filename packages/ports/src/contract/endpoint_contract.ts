/**
 * Contract of the endpoint port: plain services, load reports and orders. Streams
 * have a separate contract.
 *
 * @module
 */
import { expect } from "chai";
import type { EndpointPort, StageCall } from "../endpoint.ts";
import type { PortErrorKind } from "../error.ts";
import {
  addCases,
  type ContractCase,
  type ContractFixture,
  expectError,
  expectErrorMatchesRuns,
  LONG_TIMEOUT_MS,
  type OpenFixture,
  SHORT_TIMEOUT_MS,
} from "./fixture.ts";

/** Faults that can be injected into the endpoint. */
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
  /** The endpoint restarts: a new instance, all calls and connections lost. */
  | { readonly kind: "restart" }
  | { readonly kind: "duplicate_parts" }
  | { readonly kind: "reorder_parts" }
  /** Streams contain parts of other calls; whole answers belong to another call. */
  | { readonly kind: "foreign_parts" }
  | { readonly kind: "end_without_last" }
  /** Streams break after `after` parts, resumed ones only if `forGood`. */
  | {
    readonly kind: "cut_stream";
    readonly after: number;
    readonly forGood: boolean;
  };

/** An endpoint port and its endpoint. */
export interface EndpointFixture
  extends ContractFixture<EndpointPort, EndpointFault> {
  /** Builds a call with that id, a long timeout and a pooled connection. */
  buildCall(callId: string): StageCall;
  /** Number of calls that ran, as counted by the endpoint. */
  countRuns(): number;
  /** Number of calls that the endpoint cancelled on request. */
  countCancelled(): number;
}

/** Opens a fixture with an endpoint of the given role. */
export type OpenEndpointFixture = (
  role: StageCall["role"],
) => Promise<EndpointFixture>;

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
    progressTimeoutMs: SHORT_TIMEOUT_MS,
  },
];

const CONNECTIONS = [
  { name: "pooled", freshConnection: false },
  { name: "fresh", freshConnection: true },
] as const;

const SERVICE_CASES: readonly ContractCase<EndpointFixture>[] = [
  { name: "answers with call id, instance and cost", run: checkAnswer },
  { name: "keeps concurrent calls separate", run: checkManyCalls },
  { name: "sends nothing for a cancelled call", run: checkCancelledEarly },
  { name: "verifies the path with a new connection", run: checkFreshPath },
  { name: "never reuses a silent connection", run: checkSilent },
  { name: "reports a new instance after a restart", run: checkRestart },
  { name: "reports its load with its own id", run: checkLoad },
  { name: "rejects the report of another endpoint", run: checkMismatchedLoad },
  ...CONNECTIONS.flatMap(({ name, freshConnection }) =>
    FAULT_ROWS.map((row) => ({
      name: `${name} call under "${row.fault.kind}" is "${row.expected}"`,
      run: (fixture: EndpointFixture) =>
        checkCallFault(fixture, { row, freshConnection }),
    }))
  ),
];

const ENGINE_CASES: readonly ContractCase<EndpointFixture>[] = [
  { name: "accepts an order and returns it", run: checkOrder },
  { name: "rejects an old fencing token", run: checkOutdatedOrder },
];

/**
 * Registers the cases of the contract with mocha.
 *
 * @param name The adapter's name.
 * @param openFixture Opens the adapter with an endpoint that is warm and checks
 *   fencing tokens.
 * @example
 * ```ts
 * addEndpointContract("endpoint_http", openHttpEndpointFixture);
 * ```
 */
export function addEndpointContract(
  name: string,
  openFixture: OpenEndpointFixture,
): void {
  describe(`endpoint contract, plain service: ${name}`, () => {
    addCases(SERVICE_CASES, buildOpenFixture(openFixture, "service"));
  });
  describe(`endpoint contract, model engine: ${name}`, () => {
    addCases(ENGINE_CASES, buildOpenFixture(openFixture, "encoder"));
  });
}

function buildOpenFixture(
  openFixture: OpenEndpointFixture,
  role: StageCall["role"],
): OpenFixture<EndpointFixture> {
  return () => openFixture(role);
}

async function checkAnswer(
  { port, buildCall }: EndpointFixture,
): Promise<void> {
  const answer = (await port.call(buildCall("c-1"))).unwrap();
  expect(answer.callId).to.equal("c-1");
  expect(answer.instance).to.be.a("string").that.is.not.empty;
  expect(answer.workerMs).to.be.at.least(0);
}

async function checkManyCalls(fixture: EndpointFixture): Promise<void> {
  const ids = Array.from({ length: 50 }, (_, index) => `c-${index}`);
  const results = await Promise.all(
    ids.map((id) => fixture.port.call(fixture.buildCall(id))),
  );
  const answered = results.map((result) => result.unwrap().callId);
  expect(answered).to.deep.equal(ids);
  expect(fixture.countRuns()).to.equal(ids.length);
}

async function checkCancelledEarly(fixture: EndpointFixture): Promise<void> {
  const signal = AbortSignal.abort();
  const result = await fixture.port.call(fixture.buildCall("c-1"), { signal });
  expectError(result, "not_sent");
  expect(fixture.countRuns()).to.equal(0);
}

// Guards against a call that fails although the service is healthy, because a
// device on the path has lost the state of the open connection. A call that may
// not be repeated must detect this before its first byte is sent.
async function checkFreshPath(fixture: EndpointFixture): Promise<void> {
  (await fixture.port.call(fixture.buildCall("c-1"))).unwrap();
  await fixture.setFault({ kind: "silence" });
  const call = { ...fixture.buildCall("c-2"), freshConnection: true };
  const answer = (await fixture.port.call(call)).unwrap();
  expect(answer.callId).to.equal("c-2");
}

// The first call on a silent connection times out. If the connection returned to
// the pool, every later call would time out as well.
async function checkSilent(fixture: EndpointFixture): Promise<void> {
  (await fixture.port.call(fixture.buildCall("c-1"))).unwrap();
  // One event loop turn, in which the pool takes the connection back.
  await new Promise((resolve) => setImmediate(resolve));
  await fixture.setFault({ kind: "silence" });
  const progressTimeoutMs = SHORT_TIMEOUT_MS;
  const call = { ...fixture.buildCall("c-2"), progressTimeoutMs };
  expectError(await fixture.port.call(call), "timeout");
  (await fixture.port.call(fixture.buildCall("c-3"))).unwrap();
}

async function checkRestart(fixture: EndpointFixture): Promise<void> {
  const before = (await fixture.port.call(fixture.buildCall("c-1"))).unwrap();
  await fixture.setFault({ kind: "restart" });
  const call = { ...fixture.buildCall("c-2"), freshConnection: true };
  const after = (await fixture.port.call(call)).unwrap();
  expect(after.instance).to.not.equal(before.instance);
}

async function checkLoad({ port, buildCall }: EndpointFixture): Promise<void> {
  const { endpointId, address } = buildCall("c-1");
  const sentAt = Date.now();
  const result = await port.readLoad(endpointId, address, LONG_TIMEOUT_MS);
  const report = result.unwrap();
  expect(report.endpointId).to.equal(endpointId);
  expect(report.state).to.equal("warm");
  expect(report.running).to.equal(0);
  expect(report.measuredAt).to.be.at.most(sentAt + LONG_TIMEOUT_MS);
}

async function checkMismatchedLoad(fixture: EndpointFixture): Promise<void> {
  const { address } = fixture.buildCall("c-1");
  const result = await fixture.port.readLoad(
    "another",
    address,
    LONG_TIMEOUT_MS,
  );
  expectError(result, "bad_answer");
}

// Guards against an adapter that takes a broken answer for a refusal: the caller
// is told "not run" and repeats a ticket that had already run.
async function checkCallFault(
  fixture: EndpointFixture,
  options: { readonly row: FaultRow; readonly freshConnection: boolean },
): Promise<void> {
  const { row, freshConnection } = options;
  await fixture.setFault(row.fault);
  const { progressTimeoutMs = LONG_TIMEOUT_MS } = row;
  const call = {
    ...fixture.buildCall("c-1"),
    freshConnection,
    progressTimeoutMs,
  };
  const error = expectError(await fixture.port.call(call), row.expected);
  expect(fixture.countRuns()).to.equal(row.runs);
  expectErrorMatchesRuns(error, row.runs);
}

function buildOrder(version: string, fencing: number) {
  return { wanted: { model: "m", version, role: "encoder" }, fencing } as const;
}

async function checkOrder({ port, buildCall }: EndpointFixture): Promise<void> {
  const { address } = buildCall("c-1");
  const order = buildOrder("1", 7);
  const result = await port.sendOrder(address, order, LONG_TIMEOUT_MS);
  expect(result.unwrap()).to.deep.equal(order);
}

async function checkOutdatedOrder(
  { port, buildCall }: EndpointFixture,
): Promise<void> {
  const { address } = buildCall("c-1");
  await port.sendOrder(address, buildOrder("2", 7), LONG_TIMEOUT_MS);
  const result = await port.sendOrder(
    address,
    buildOrder("1", 6),
    LONG_TIMEOUT_MS,
  );
  expectError(result, "refused");
}
