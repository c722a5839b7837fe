/**
 * Calls control processes. The settings list several; any of them can answer.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import type * as rpc from "@sardinestep/rpc";
import type { Address, MemberFacts } from "@sardinestep/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { Context } from "./context.ts";
import { createFailureReport, type Report } from "./report.ts";

/** A call that got no answer from a process. */
export interface UnansweredCall {
  readonly address: Address;
  /** `control` or `entry`, with the VM if it is known. */
  readonly process: string;
  readonly message: string;
}

/**
 * Calls a read-only method at one control process after the other until one answers.
 *
 * @param context RPC client and settings.
 * @param method A read-only method, which is safe to retry.
 * @param params Its parameters.
 * @returns The first answer, or a report of the calls without one.
 */
export async function callAnyControl<M extends rpc.MethodName>(
  context: Context,
  method: M,
  params: rpc.Methods[M]["params"],
): Promise<Result<rpc.Methods[M]["result"], Report>> {
  const unanswered: UnansweredCall[] = [];
  for (const address of context.settings.controls) {
    const answer = await context.rpcClient.call(address, method, params, {
      timeoutMs: context.settings.timeoutMs,
    });
    if (answer.isOk()) return Ok(answer.value);
    unanswered.push({
      address,
      process: "control",
      message: answer.error.message,
    });
  }
  return Err(createUnreachableReport(unanswered));
}

/**
 * Creates the report for the case that no control process answered.
 *
 * @param unanswered The calls that got no answer.
 * @returns The report.
 */
export function createUnreachableReport(
  unanswered: readonly UnansweredCall[],
): Report {
  const failure = codes.createFailure(
    "CONTROL_UNREACHABLE",
    "No control process answered; nothing was changed",
  );
  return createFailureReport(failure, {
    lines: formatUnanswered(unanswered),
    data: { noAnswer: unanswered },
  });
}

/**
 * Formats the calls that got no answer.
 *
 * @param unanswered The calls that got no answer.
 * @returns One line for each call.
 */
export function formatUnanswered(
  unanswered: readonly UnansweredCall[],
): string[] {
  return unanswered.map(({ process, address, message }) => {
    const location = address === "" ? process : `${process} at ${address}`;
    return `No answer from ${location}: ${message}`;
  });
}

/** Answers of all processes, and the calls that got none. */
export interface ProcessAnswers<T> {
  readonly answers: readonly T[];
  readonly unanswered: readonly UnansweredCall[];
}

/**
 * Calls every control and every entry process concurrently. Processes that do not
 * answer are listed and do not delay the other answers.
 *
 * @param context RPC client and settings.
 * @param method `status` or `timeline`.
 * @param params Its parameters.
 * @returns Answers in the order of the members, or a report when no control
 * process returns the member list.
 */
export async function callEveryProcess<M extends "status" | "timeline">(
  context: Context,
  method: M,
  params: rpc.Methods[M]["params"],
): Promise<Result<ProcessAnswers<rpc.Methods[M]["result"]>, Report>> {
  const members = await callAnyControl(context, "members", {});
  if (members.isErr()) return members;
  const targets = planTargets(context, members.value);
  const results = await Promise.all(
    targets.map((target) => callProcess(context, target, { method, params })),
  );
  const answers = results.flatMap((result) =>
    result.isOk() ? [result.value] : []
  );
  const unanswered = results.flatMap((result) =>
    result.isErr() ? [result.error] : []
  );
  return Ok({ answers, unanswered });
}

/** The address is empty if the VM's other process has been seen but not this one. */
async function callProcess<M extends "status" | "timeline">(
  context: Context,
  target: ProcessAddress,
  call: { readonly method: M; readonly params: rpc.Methods[M]["params"] },
): Promise<Result<rpc.Methods[M]["result"], UnansweredCall>> {
  if (target.address === "") {
    return Err({ ...target, message: "its address is not known yet" });
  }
  const answer = await context.rpcClient.call(
    target.address,
    call.method,
    call.params,
    { timeoutMs: context.settings.timeoutMs },
  );
  return answer.mapErr(({ message }) => ({ ...target, message }));
}

type ProcessAddress = Omit<UnansweredCall, "message">;

/** The settings may name a control process that is no longer in the member list. */
function planTargets(
  context: Context,
  members: readonly MemberFacts[],
): ProcessAddress[] {
  const targets = members.flatMap((member) => [
    { address: member.controlRpc, process: `control of ${member.vmId}` },
    { address: member.entryRpc, process: `entry of ${member.vmId}` },
  ]);
  const listed = new Set(targets.map((target) => target.address));
  const others = context.settings.controls
    .filter((address) => !listed.has(address))
    .map((address) => ({ address, process: "control" }));
  return [...targets, ...others];
}
