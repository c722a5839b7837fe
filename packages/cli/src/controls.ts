/**
 * Calls to control processes. Any control will do; the settings name several.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import type * as rpc from "@sardinestep/rpc";
import type { Address, MemberFacts } from "@sardinestep/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { Context } from "./context.ts";
import { createRefusal, type Report } from "./report.ts";

/** A process that gave no answer. */
export interface Silence {
  readonly address: Address;
  /** `control` or `entry`, with the VM where it is known. */
  readonly process: string;
  readonly message: string;
}

/**
 * Calls a method that only reads, at one control after the other.
 *
 * @param context Caller and settings.
 * @param method A method that changes nothing: it may be called many times.
 * @param params Its parameters.
 * @returns The first answer, or a report of who did not answer.
 */
export async function callAnyControl<M extends rpc.MethodName>(
  context: Context,
  method: M,
  params: rpc.Methods[M]["params"],
): Promise<Result<rpc.Methods[M]["result"], Report>> {
  const silences: Silence[] = [];
  for (const address of context.settings.controls) {
    const answer = await context.caller.call(address, method, params, {
      timeoutMs: context.settings.timeoutMs,
    });
    if (answer.isOk()) return Ok(answer.value);
    silences.push({
      address,
      process: "control",
      message: answer.error.message,
    });
  }
  return Err(createUnreachable(silences));
}

/**
 * Makes the report for the case that no control answered.
 *
 * @param silences Who was asked.
 * @returns The report.
 */
export function createUnreachable(silences: readonly Silence[]): Report {
  const failure = codes.createFailure(
    "CONTROL_UNREACHABLE",
    "No control process answered; nothing was changed",
  );
  return createRefusal(failure, {
    lines: formatSilences(silences),
    data: { noAnswer: silences },
  });
}

/**
 * Formats who did not answer, for people.
 *
 * @param silences Who was asked in vain.
 * @returns One line each.
 */
export function formatSilences(silences: readonly Silence[]): string[] {
  return silences.map(({ process, address, message }) => {
    const place = address === "" ? process : `${process} at ${address}`;
    return `No answer from ${place}: ${message}`;
  });
}

/** The answers of all processes that gave one. */
export interface Survey<T> {
  readonly answers: readonly T[];
  readonly silences: readonly Silence[];
}

/**
 * Asks every control and every entry at once. Dead ones are listed, and hold
 * nobody else's answer back.
 *
 * @param context Caller and settings.
 * @param method `status` or `timeline`.
 * @param params Its parameters.
 * @returns Answers in the order of the members, or a report when no control
 * tells who the members are.
 */
export async function callEveryProcess<M extends "status" | "timeline">(
  context: Context,
  method: M,
  params: rpc.Methods[M]["params"],
): Promise<Result<Survey<rpc.Methods[M]["result"]>, Report>> {
  const members = await callAnyControl(context, "members", {});
  if (members.isErr()) return members;
  const targets = planTargets(context, members.value);
  const results = await Promise.all(
    targets.map((target) => callTarget(context, target, { method, params })),
  );
  const answers = results.flatMap((result) =>
    result.isOk() ? [result.value] : []
  );
  const silences = results.flatMap((result) =>
    result.isErr() ? [result.error] : []
  );
  return Ok({ answers, silences });
}

/** A VM of which only one process was heard has no address for the other. */
async function callTarget<M extends "status" | "timeline">(
  context: Context,
  target: Target,
  call: { readonly method: M; readonly params: rpc.Methods[M]["params"] },
): Promise<Result<rpc.Methods[M]["result"], Silence>> {
  if (target.address === "") {
    return Err({ ...target, message: "its address is not known yet" });
  }
  const answer = await context.caller.call(
    target.address,
    call.method,
    call.params,
    { timeoutMs: context.settings.timeoutMs },
  );
  return answer.mapErr(({ message }) => ({ ...target, message }));
}

type Target = Omit<Silence, "message">;

/** The settings may name a control that the members do not list any more. */
function planTargets(
  context: Context,
  members: readonly MemberFacts[],
): Target[] {
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
