/**
 * Publishes a configuration through the control processes.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import type * as rpc from "@sardinestep/rpc";
import type { Address } from "@sardinestep/types";
import { match } from "ts-pattern";
import type { Context } from "./context.ts";
import {
  callAnyControl,
  createUnreachableReport,
  type UnansweredCall,
} from "./controls.ts";
import { createFailureReport, type Report } from "./report.ts";

/** A configuration to publish, its base version and its author. */
export interface Publication {
  readonly base: number;
  readonly author: string;
  readonly note: string;
  readonly configuration: unknown;
}

/** The result of a publication. */
export type PublicationResult =
  | { readonly kind: "accepted"; readonly version: number }
  | { readonly kind: "lost"; readonly inForce: number; readonly author: string }
  /** Refused, not delivered or of unknown outcome; not retried automatically. */
  | { readonly kind: "ended"; readonly report: Report };

/**
 * Rounds over the control processes. The second round takes place only if the
 * record may have been appended; the record id makes the retry idempotent.
 */
const MAX_ROUNDS = 2;
/**
 * Upper bound of calls that are sent. A control process may take seconds to
 * detect that the log does not answer, and the operator needs a result soon; four
 * calls tolerate a few broken connections.
 */
const MAX_SENT_CALLS = 4;
/** If two control processes can't reach the log, the log itself is at fault. */
const MAX_LOG_UNAVAILABLE_ANSWERS = 2;

interface PublishAttempts {
  readonly record: rpc.Methods["publish"]["params"];
  readonly unanswered: UnansweredCall[];
  /** Whether an earlier attempt may have appended the record to the log. */
  mayBeAppended: boolean;
  /** Control processes that answered that the log is unavailable. */
  logUnavailableAnswers: number;
  /** Calls that were sent, answered or not. */
  sent: number;
}

/**
 * Publishes a configuration; all attempts use the same record id.
 *
 * @param context RPC client and settings.
 * @param publication What to publish.
 * @returns The result. It is `accepted` only after a control process has read the
 * record back as the version in force.
 */
export async function runPublication(
  context: Context,
  publication: Publication,
): Promise<PublicationResult> {
  const recordId = context.createRecordId();
  const attempts: PublishAttempts = {
    record: { kind: "publish", recordId, ...publication },
    unanswered: [],
    mayBeAppended: false,
    logUnavailableAnswers: 0,
    sent: 0,
  };
  const { controls } = context.settings;
  for (
    let callIndex = 0;
    callIndex < MAX_ROUNDS * controls.length;
    callIndex += 1
  ) {
    if (
      isAttemptLimitReached(attempts, {
        hasCalledAll: callIndex >= controls.length,
      })
    ) break;
    const address = controls[callIndex % controls.length];
    const result = await callPublish(context, address, attempts);
    if (result) return result;
  }
  return await handleMissingVerdict(context, attempts);
}

function isAttemptLimitReached(
  attempts: PublishAttempts,
  { hasCalledAll }: { hasCalledAll: boolean },
): boolean {
  if (attempts.sent >= MAX_SENT_CALLS) return true;
  if (attempts.mayBeAppended) return false;
  return hasCalledAll ||
    attempts.logUnavailableAnswers >= MAX_LOG_UNAVAILABLE_ANSWERS;
}

/** Calls one control process; undefined when the next one has to be called. */
async function callPublish(
  context: Context,
  address: Address,
  attempts: PublishAttempts,
): Promise<PublicationResult | undefined> {
  const answer = await context.rpcClient.call(
    address,
    "publish",
    attempts.record,
    {
      timeoutMs: context.settings.timeoutMs,
    },
  );
  if (answer.isOk() || answer.error.kind !== "not_sent") attempts.sent += 1;
  if (answer.isOk()) {
    return await handleVerdict(context, answer.value, { attempts, address });
  }
  const { kind, message } = answer.error;
  attempts.unanswered.push({ address, process: "control", message });
  if (kind !== "not_sent") attempts.mayBeAppended = true;
  return undefined;
}

async function handleVerdict(
  context: Context,
  verdict: rpc.PublishVerdict,
  { attempts, address }: { attempts: PublishAttempts; address: Address },
): Promise<PublicationResult | undefined> {
  return await match(verdict)
    .returnType<
      PublicationResult | undefined | Promise<PublicationResult | undefined>
    >()
    .with({ kind: "accepted" }, (accepted) => accepted)
    .with(
      { kind: "lost" },
      (lost) => checkLostVerdict(context, lost, { attempts, address }),
    )
    .with({ kind: "invalid" }, (invalid) => createInvalidResult(invalid.faults))
    .with({ kind: "log_unavailable" }, () => {
      attempts.logUnavailableAnswers += 1;
      return undefined;
    })
    .with({ kind: "unknown" }, () => {
      attempts.mayBeAppended = true;
      return undefined;
    })
    .exhaustive();
}

/**
 * Guards against a false "lost": an earlier attempt timed out, its record
 * became the version in force, and the retry was compared with the publisher's
 * own version. The history contains the accepted record. It is read from the
 * control process that judged the retry, since another one may lag behind.
 */
async function checkLostVerdict(
  context: Context,
  lost: Extract<PublicationResult, { kind: "lost" }>,
  { attempts, address }: { attempts: PublishAttempts; address: Address },
): Promise<PublicationResult> {
  if (!attempts.mayBeAppended) return lost;
  const { recordId } = attempts.record;
  const history = await context.rpcClient.call(address, "history", {}, {
    timeoutMs: context.settings.timeoutMs,
  });
  if (history.isErr()) {
    return { kind: "ended", report: createOutcomeUnknownReport(recordId) };
  }
  return findAccepted(history.value, recordId) ?? lost;
}

function findAccepted(
  history: readonly rpc.HistoryRow[],
  recordId: string,
): PublicationResult | undefined {
  const row = history.find((candidate) =>
    candidate.recordId === recordId && candidate.version !== undefined
  );
  if (row?.version === undefined) return undefined;
  return { kind: "accepted", version: row.version };
}

async function handleMissingVerdict(
  context: Context,
  attempts: PublishAttempts,
): Promise<PublicationResult> {
  const { recordId } = attempts.record;
  if (attempts.mayBeAppended) {
    const history = await callAnyControl(context, "history", {});
    const accepted = findAccepted(history.unwrapOr([]), recordId);
    return accepted ??
      { kind: "ended", report: createOutcomeUnknownReport(recordId) };
  }
  const report = attempts.logUnavailableAnswers > 0
    ? createLogUnavailableReport()
    : createUnreachableReport(attempts.unanswered);
  return { kind: "ended", report };
}

function createInvalidResult(faults: readonly string[]): PublicationResult {
  const failure = codes.createFailure(
    "CONFIG_INVALID",
    `The control process refused the configuration: ${faults.length} fault(s)`,
  );
  const report = createFailureReport(failure, {
    lines: faults,
    data: { faults },
  });
  return { kind: "ended", report };
}

function createOutcomeUnknownReport(recordId: string): Report {
  const failure = codes.createFailure(
    "PUBLISH_UNKNOWN",
    `Record "${recordId}" was sent and could not be read back`,
  );
  return createFailureReport(failure, {
    lines: [
      "It may still come in force. Look for the record before you publish again:",
      "  sardinestep config history",
    ],
    data: { recordId },
  });
}

function createLogUnavailableReport(): Report {
  const failure = codes.createFailure(
    "LOG_UNAVAILABLE",
    "The log service is out of reach; nothing was changed",
  );
  return createFailureReport(failure, {
    lines: ["The version in force stays in force. Publish again later."],
  });
}

/**
 * Creates the report of a publication whose base version was superseded.
 *
 * @param lost The version in force and its author.
 * @param base The version that the refused publication was based on.
 * @returns The report.
 */
export function createStaleBaseReport(
  lost: { readonly inForce: number; readonly author: string },
  base: number,
): Report {
  const failure = codes.createFailure(
    "CONFIG_BASE_STALE",
    `Lost: based on version ${base}, but version ${lost.inForce} by ${lost.author} is in force`,
  );
  return createFailureReport(failure, {
    lines: ["Nothing was changed. Look at what differs, then publish again:"]
      .concat("  sardinestep config diff FILE"),
    data: { base, inForce: lost.inForce, author: lost.author },
  });
}
