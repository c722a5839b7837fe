/**
 * Publishing a configuration through a control process.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import type * as rpc from "@sardinestep/rpc";
import type { Address } from "@sardinestep/types";
import { match } from "ts-pattern";
import type { Context } from "./context.ts";
import { callAnyControl, createUnreachable, type Silence } from "./controls.ts";
import { createRefusal, type Report } from "./report.ts";

/** What is published, on top of which version and by whom. */
export interface Publication {
  readonly base: number;
  readonly author: string;
  readonly note: string;
  readonly configuration: unknown;
}

/** How a publication ended. */
export type PublicationEnd =
  | { readonly kind: "accepted"; readonly version: number }
  | { readonly kind: "lost"; readonly inForce: number; readonly author: string }
  /** Refused, unreachable or of unknown fate; nothing to repeat by itself. */
  | { readonly kind: "ended"; readonly report: Report };

/**
 * Every control is asked once; as long as the record may have been sent, they
 * are asked once more. The record id makes that idempotent.
 */
const ROUNDS = 2;
/**
 * Controls whose answer is waited for at most. Each may take seconds to find
 * out that the log does not answer, and an operator needs a word soon; four
 * outlast a few broken connections.
 */
const MAX_WAITS = 4;
/** Two controls out of reach of the log: it is the log, not one control. */
const ENOUGH_WITHOUT_LOG = 2;

interface Attempts {
  readonly record: rpc.Methods["publish"]["params"];
  readonly silences: Silence[];
  /** Whether the record may stand in the log through an earlier attempt. */
  mayBeSent: boolean;
  /** Controls that waited for the log in vain. */
  withoutLog: number;
  /** Calls that were sent, with or without an answer. */
  waits: number;
}

/**
 * Publishes a configuration; one record id stands for all attempts.
 *
 * @param context Caller and settings.
 * @param publication What to publish.
 * @returns How it ended. It is `accepted` only after a control has read the
 * record back as in force.
 */
export async function runPublication(
  context: Context,
  publication: Publication,
): Promise<PublicationEnd> {
  const recordId = context.createRecordId();
  const attempts: Attempts = {
    record: { kind: "publish", recordId, ...publication },
    silences: [],
    mayBeSent: false,
    withoutLog: 0,
    waits: 0,
  };
  const { controls } = context.settings;
  for (let call = 0; call < ROUNDS * controls.length; call += 1) {
    if (isEnough(attempts, { hasAskedAll: call >= controls.length })) break;
    const address = controls[call % controls.length];
    const end = await callPublish(context, address, attempts);
    if (end) return end;
  }
  return await handleUnsettled(context, attempts);
}

function isEnough(
  attempts: Attempts,
  { hasAskedAll }: { hasAskedAll: boolean },
): boolean {
  if (attempts.waits >= MAX_WAITS) return true;
  if (attempts.mayBeSent) return false;
  return hasAskedAll || attempts.withoutLog >= ENOUGH_WITHOUT_LOG;
}

/** Asks one control; undefined when another one has to be asked. */
async function callPublish(
  context: Context,
  address: Address,
  attempts: Attempts,
): Promise<PublicationEnd | undefined> {
  const answer = await context.caller.call(
    address,
    "publish",
    attempts.record,
    {
      timeoutMs: context.settings.timeoutMs,
    },
  );
  if (answer.isOk() || answer.error.kind !== "not_sent") attempts.waits += 1;
  if (answer.isOk()) {
    return await handleVerdict(context, answer.value, { attempts, address });
  }
  const { kind, message } = answer.error;
  attempts.silences.push({ address, process: "control", message });
  if (kind !== "not_sent") attempts.mayBeSent = true;
  return undefined;
}

async function handleVerdict(
  context: Context,
  verdict: rpc.PublishVerdict,
  { attempts, address }: { attempts: Attempts; address: Address },
): Promise<PublicationEnd | undefined> {
  return await match(verdict)
    .returnType<
      PublicationEnd | undefined | Promise<PublicationEnd | undefined>
    >()
    .with({ kind: "accepted" }, (it) => it)
    .with(
      { kind: "lost" },
      (it) => checkLoss(context, it, { attempts, address }),
    )
    .with({ kind: "invalid" }, (it) => createInvalidEnd(it.faults))
    .with({ kind: "log_unavailable" }, () => {
      attempts.withoutLog += 1;
      return undefined;
    })
    .with({ kind: "unknown" }, () => {
      attempts.mayBeSent = true;
      return undefined;
    })
    .exhaustive();
}

/**
 * Guards against a false "lost": an earlier attempt timed out, its record
 * became the version in force, and the repeated one is judged against the
 * publisher's own version. The history names the record that was accepted. It
 * is read where the copy was judged, since another control may lag behind.
 */
async function checkLoss(
  context: Context,
  lost: Extract<PublicationEnd, { kind: "lost" }>,
  { attempts, address }: { attempts: Attempts; address: Address },
): Promise<PublicationEnd> {
  if (!attempts.mayBeSent) return lost;
  const { recordId } = attempts.record;
  const history = await context.caller.call(address, "history", {}, {
    timeoutMs: context.settings.timeoutMs,
  });
  if (history.isErr()) {
    return { kind: "ended", report: createUnknown(recordId) };
  }
  return findAccepted(history.value, recordId) ?? lost;
}

function findAccepted(
  history: readonly rpc.HistoryRow[],
  recordId: string,
): PublicationEnd | undefined {
  const row = history.find((it) =>
    it.recordId === recordId && it.version !== undefined
  );
  if (row?.version === undefined) return undefined;
  return { kind: "accepted", version: row.version };
}

async function handleUnsettled(
  context: Context,
  attempts: Attempts,
): Promise<PublicationEnd> {
  const { recordId } = attempts.record;
  if (attempts.mayBeSent) {
    const history = await callAnyControl(context, "history", {});
    const accepted = findAccepted(history.unwrapOr([]), recordId);
    return accepted ?? { kind: "ended", report: createUnknown(recordId) };
  }
  const report = attempts.withoutLog > 0
    ? createLogUnavailable()
    : createUnreachable(attempts.silences);
  return { kind: "ended", report };
}

function createInvalidEnd(faults: readonly string[]): PublicationEnd {
  const failure = codes.createFailure(
    "CONFIG_INVALID",
    `The control process refused the configuration: ${faults.length} fault(s)`,
  );
  const report = createRefusal(failure, { lines: faults, data: { faults } });
  return { kind: "ended", report };
}

function createUnknown(recordId: string): Report {
  const failure = codes.createFailure(
    "PUBLISH_UNKNOWN",
    `Record "${recordId}" was sent and could not be read back`,
  );
  return createRefusal(failure, {
    lines: [
      "It may still come in force. Look for the record before you publish again:",
      "  sardinestep config history",
    ],
    data: { recordId },
  });
}

function createLogUnavailable(): Report {
  const failure = codes.createFailure(
    "LOG_UNAVAILABLE",
    "The log service is out of reach; nothing was changed",
  );
  return createRefusal(failure, {
    lines: ["The version in force stays in force. Publish again later."],
  });
}

/**
 * Makes the report of a lost race.
 *
 * @param lost Which version won and who published it.
 * @param base The version that the loser was based on.
 * @returns The report.
 */
export function createLost(
  lost: { readonly inForce: number; readonly author: string },
  base: number,
): Report {
  const failure = codes.createFailure(
    "CONFIG_BASE_STALE",
    `Lost: based on version ${base}, but version ${lost.inForce} by ${lost.author} is in force`,
  );
  return createRefusal(failure, {
    lines: ["Nothing was changed. Look at what differs, then publish again:"]
      .concat("  sardinestep config diff FILE"),
    data: { base, inForce: lost.inForce, author: lost.author },
  });
}
