/**
 * Contract of the log port.
 *
 * @module
 */
import { expect } from "chai";
import type { PortErrorKind } from "../error.ts";
import type { LogPage, LogPort } from "../log.ts";
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

/** Faults that can be injected into the log service. */
export type LogFault =
  | { readonly kind: "none" }
  /** Connections are refused. */
  | { readonly kind: "down" }
  /** Requests are accepted and never answered. */
  | { readonly kind: "hang" }
  /** Connections break when a request arrives. */
  | { readonly kind: "reset" }
  /** The next append takes effect and its answer is lost. */
  | { readonly kind: "lose_next_answer" }
  /** The next append's connection breaks; it takes effect later. */
  | { readonly kind: "late_next_append" }
  | { readonly kind: "rate_limit_next" }
  | {
    readonly kind: "trim";
    readonly stream: string;
    readonly before: number;
  };

/** A log port and its service. */
export type LogFixture = ContractFixture<LogPort, LogFault>;

const STREAM = "contract";
const APPEND = { timeoutMs: LONG_TIMEOUT_MS };

interface FaultRow {
  readonly fault: LogFault;
  readonly expected: PortErrorKind;
  readonly timeoutMs: number;
  /** Records in the stream after the fault. */
  readonly records: number;
}

const FAULT_ROWS: readonly FaultRow[] = [
  {
    fault: { kind: "down" },
    expected: "not_sent",
    timeoutMs: LONG_TIMEOUT_MS,
    records: 0,
  },
  {
    fault: { kind: "hang" },
    expected: "timeout",
    timeoutMs: SHORT_TIMEOUT_MS,
    records: 0,
  },
  {
    fault: { kind: "reset" },
    expected: "answer_lost",
    timeoutMs: LONG_TIMEOUT_MS,
    records: 0,
  },
  {
    fault: { kind: "lose_next_answer" },
    expected: "answer_lost",
    timeoutMs: LONG_TIMEOUT_MS,
    records: 1,
  },
  {
    fault: { kind: "late_next_append" },
    expected: "answer_lost",
    timeoutMs: LONG_TIMEOUT_MS,
    records: 1,
  },
  {
    fault: { kind: "rate_limit_next" },
    expected: "rate_limited",
    timeoutMs: LONG_TIMEOUT_MS,
    records: 0,
  },
];

const CASES: readonly ContractCase<LogFixture>[] = [
  {
    name: "assigns increasing offsets and reads records back",
    run: checkOffsets,
  },
  { name: "keeps streams separate", run: checkStreams },
  {
    name: "reads a limited number of records from an offset",
    run: checkPaging,
  },
  { name: "completes a waiting read on an append", run: checkLongPoll },
  {
    name: "starts a read of trimmed records at the first retained one",
    run: checkTrim,
  },
  { name: "returns any JSON value unchanged", run: checkValues },
  { name: "returns the retry delay of a rate limit", run: checkRetryAfter },
  ...FAULT_ROWS.map((row) => ({
    name: `append under "${row.fault.kind}" is "${row.expected}"`,
    run: (bench: LogFixture) => checkAppendFault(bench, row),
  })),
];

/**
 * Registers the cases of the contract with mocha.
 *
 * @param name The adapter's name.
 * @param openFixture Opens the adapter with an empty service.
 * @example
 * ```ts
 * addLogContract("log_http", openHttpLogFixture);
 * ```
 */
export function addLogContract(
  name: string,
  openFixture: OpenFixture<LogFixture>,
): void {
  describe(`log contract: ${name}`, () => addCases(CASES, openFixture));
}

async function appendAll(
  port: LogPort,
  values: readonly unknown[],
): Promise<number[]> {
  const offsets: number[] = [];
  for (const value of values) {
    const receipt = await port.append(STREAM, value, APPEND);
    offsets.push(receipt.unwrap().offset);
  }
  return offsets;
}

async function readPage(port: LogPort, from = 0): Promise<LogPage> {
  const result = await port.read(STREAM, {
    from,
    limit: 100,
    waitMs: 0,
    timeoutMs: LONG_TIMEOUT_MS,
  });
  return result.unwrap();
}

async function checkOffsets({ port }: LogFixture): Promise<void> {
  const offsets = await appendAll(port, ["a", "b", "c"]);
  const page = await readPage(port);
  expect(offsets).to.deep.equal([...offsets].sort((a, b) => a - b));
  expect(new Set(offsets).size).to.equal(offsets.length);
  expect(page.records.map((record) => record.offset)).to.deep.equal(offsets);
  expect(page.records.map((record) => record.value)).to.deep.equal([
    "a",
    "b",
    "c",
  ]);
  expect(page.endOffset).to.be.greaterThan(offsets[2]);
}

async function checkStreams({ port }: LogFixture): Promise<void> {
  await port.append("other", "x", APPEND);
  expect((await readPage(port)).records).to.deep.equal([]);
}

async function checkPaging({ port }: LogFixture): Promise<void> {
  const offsets = await appendAll(port, [1, 2, 3, 4]);
  const result = await port.read(STREAM, {
    from: offsets[1],
    limit: 2,
    waitMs: 0,
    timeoutMs: LONG_TIMEOUT_MS,
  });
  const values = result.unwrap().records.map((record) => record.value);
  expect(values).to.deep.equal([2, 3]);
}

async function checkLongPoll({ port }: LogFixture): Promise<void> {
  const pendingRead = port.read(STREAM, {
    from: 0,
    limit: 10,
    waitMs: LONG_TIMEOUT_MS,
    timeoutMs: LONG_TIMEOUT_MS * 2,
  });
  await appendAll(port, ["news"]);
  const values = (await pendingRead).unwrap().records.map((record) =>
    record.value
  );
  expect(values).to.deep.equal(["news"]);
}

async function checkTrim({ port, setFault }: LogFixture): Promise<void> {
  const offsets = await appendAll(port, ["a", "b", "c"]);
  await setFault({ kind: "trim", stream: STREAM, before: offsets[1] });
  const page = await readPage(port, offsets[0]);
  expect(page.firstOffset).to.equal(offsets[1]);
  expect(page.records.map((record) => record.value)).to.deep.equal(["b", "c"]);
}

async function checkValues({ port }: LogFixture): Promise<void> {
  const values = [null, 0, "", "ö\n\u2028", [], { a: { b: [1.5, true] } }];
  await appendAll(port, values);
  const page = await readPage(port);
  expect(page.records.map((record) => record.value)).to.deep.equal(values);
}

async function checkRetryAfter({ port, setFault }: LogFixture): Promise<void> {
  await setFault({ kind: "rate_limit_next" });
  const result = await port.append(STREAM, 1, APPEND);
  const error = expectError(result, "rate_limited");
  expect(error.retryAfterMs).to.be.a("number");
}

// Guards against an adapter that reports a lost or late answer as "not run"
// although the record was appended to the log.
async function checkAppendFault(
  { port, setFault }: LogFixture,
  row: FaultRow,
): Promise<void> {
  await setFault(row.fault);
  const { timeoutMs } = row;
  const result = await port.append(STREAM, "x", { timeoutMs });
  const error = expectError(result, row.expected);
  expectErrorMatchesRuns(error, row.records);
  await setFault({ kind: "none" });
  const page = await port.read(STREAM, {
    from: 0,
    limit: 10,
    waitMs: row.records > 0 ? LONG_TIMEOUT_MS : 0,
    timeoutMs: LONG_TIMEOUT_MS * 2,
  });
  expect(page.unwrap().records.length).to.equal(row.records);
}
