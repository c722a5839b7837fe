/**
 * `sardinestep claims show`: the claims on an idempotency key.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import type * as rpc from "@sardinestep/rpc";
import type { MemberFacts } from "@sardinestep/types";
import { match } from "ts-pattern";
import type { Context } from "./context.ts";
import { callAnyControl } from "./controls.ts";
import type { Report } from "./report.ts";

type KeyLookup = rpc.Methods["lookUpKey"]["result"][number];

/** The state of a key in the log, and the answer of its holder. */
interface KeyReport extends KeyLookup {
  /** The VM of the holding entry, while that entry is a member. */
  readonly holderVm?: string;
  /** The holder's own answer; undefined if it gave none. */
  readonly holderSays?: rpc.AnswerStatus;
}

/**
 * Looks a key up in the log and calls the entry process that holds its claim.
 *
 * @param context RPC client and settings.
 * @param key The caller's idempotency key.
 * @param customer The customer of the key; all customers when undefined.
 * @returns The claim of each customer, and its meaning.
 */
export async function readClaims(
  context: Context,
  key: string,
  customer: string | undefined,
): Promise<Report> {
  const found = await callAnyControl(context, "lookUpKey", { key, customer });
  if (found.isErr()) return found.error;
  const members = await callAnyControl(context, "members", {});
  const knownMembers = members.unwrapOr([]);
  const reports = await Promise.all(
    found.value.map((row) => callHolder(context, row, knownMembers)),
  );
  const noClaimLine =
    `No claim on key "${key}" is in the log: a minted key that has no outcome yet, or a key that nobody used`;
  return {
    kind: "done",
    lines: reports.length === 0
      ? [noClaimLine]
      : reports.flatMap(formatKeyReport),
    data: { key, claims: reports },
  };
}

async function callHolder(
  context: Context,
  row: KeyLookup,
  members: readonly MemberFacts[],
): Promise<KeyReport> {
  const holder = getHolderClaim(row.status);
  const member = members.find((candidate) =>
    candidate.entryInstance === holder?.instance
  );
  if (holder === undefined || member === undefined) return row;
  const answer = await context.rpcClient.call(
    member.entryRpc,
    "findAnswer",
    { keyId: row.keyId, waitMs: 0, id: holder },
    { timeoutMs: context.settings.timeoutMs },
  );
  return {
    ...row,
    holderVm: member.vmId,
    holderSays: answer.isOk() ? answer.value : undefined,
  };
}

function getHolderClaim(status: claims.KeyStatus): claims.ClaimId | undefined {
  return match(status)
    .with({ kind: "free" }, { kind: "expired" }, () => undefined)
    .with(
      { kind: "held" },
      { kind: "completed" },
      { kind: "unknown" },
      ({ holder }) => holder,
    )
    .exhaustive();
}

function formatKeyReport(report: KeyReport): string[] {
  return [
    `${report.keyId.customer} ${report.keyId.key}: ${report.status.kind}`,
    `  ${formatMeaning(report.status)}`,
    ...formatHolder(report),
    `  log read through offset ${report.readThrough}`,
  ];
}

function formatMeaning(status: claims.KeyStatus): string {
  return match(status)
    .with({ kind: "free" }, () => "No claim counts: nothing ran under it")
    .with({ kind: "held" }, () => "Its holder alone may run it, or has")
    .with({ kind: "completed" }, () => "It ran once and completed")
    .with(
      { kind: "unknown" },
      () =>
        "It was sent, and nobody can tell whether it ran; it never runs again",
    )
    .with(
      { kind: "expired" },
      () => "The key is older than the log covers; it never runs again",
    )
    .exhaustive();
}

function formatHolder(report: KeyReport): string[] {
  const holder = getHolderClaim(report.status);
  if (holder === undefined) return [];
  const name = `entry process ${holder.instance}, claim ${holder.sequence}`;
  if (report.holderVm === undefined) {
    return [`  holder: ${name}; not among the members: gone or not heard from`];
  }
  const answerKind = report.holderSays?.kind ?? "no answer";
  return [`  holder: ${name} on ${report.holderVm}; it says: ${answerKind}`];
}
