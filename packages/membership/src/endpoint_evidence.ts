/**
 * What each kind of evidence says of an endpoint's state. Nothing is changed
 * here: the table carries out what these functions decide.
 *
 * @module
 */
import {
  ENDPOINT_STATE,
  type EndpointFacts,
  type EndpointState,
  type LoadReport,
} from "@sardinestep/types";
import { match } from "ts-pattern";
import {
  type EndpointNews,
  type EndpointRow,
  isAsBad,
  isFinal,
} from "./endpoint_row.ts";

/**
 * Decides what a report of the known run changes.
 *
 * @param row What is known.
 * @param report A report that is newer than the last one used.
 * @returns The new state; undefined when the state stays.
 */
export function decideByReport(
  row: EndpointRow,
  report: LoadReport,
): EndpointState | undefined {
  const isNewer = report.measuredAt > row.negativeAt;
  if (row.state === ENDPOINT_STATE.gone) {
    // The list had dropped an endpoint that it names again, and the same run
    // still reports: the list was wrong. It starts over cold, for nothing is
    // known of what happened to it in between.
    return row.listed === "live" && isNewer ? ENDPOINT_STATE.cold : undefined;
  }
  if (isFinal(row.state)) return undefined;
  const mayApply = isNewer || isAsBad(report.state, row.state);
  return mayApply ? report.state : undefined;
}

/**
 * Decides what an entry's own observation of the known run changes.
 *
 * @param row What is known.
 * @param news What the entry has seen.
 * @returns The new state; undefined when the state stays.
 */
export function decideByNews(
  row: EndpointRow,
  news: EndpointNews["news"],
): EndpointState | undefined {
  if (isFinal(row.state)) return undefined;
  return match(news)
    .with(
      "silent",
      "cold",
      "leaving",
      (state) => isAsBad(state, row.state) ? state : undefined,
    )
    // A count of finished calls. An endpoint that reports its state knows
    // better, and one that is silent must answer first.
    .with("warm", (state) => isUnproved(row) ? state : undefined)
    // It may have restarted while it was silent.
    .with(
      "answered",
      () =>
        row.state === ENDPOINT_STATE.silent ? ENDPOINT_STATE.cold : undefined,
    )
    .exhaustive();
}

/**
 * Decides what another control's news of the known run changes.
 *
 * @param row What is known.
 * @param state What the other control holds.
 * @param options `hasOwnNews`: negative evidence of the own VM is recent.
 * @returns The new state; undefined when the state stays.
 */
export function decideByGossip(
  row: EndpointRow,
  state: EndpointFacts["state"],
  options: { readonly hasOwnNews: boolean },
): EndpointState | undefined {
  if (isFinal(row.state)) return undefined;
  // The other's list is newer; what the own list says comes soon. Meanwhile
  // reports of the same run must not bring the endpoint back.
  if (state === ENDPOINT_STATE.gone) return ENDPOINT_STATE.leaving;
  if (isAsBad(state, row.state)) return state;
  return isUnproved(row) && !options.hasOwnNews ? state : undefined;
}

/** Tells whether a count of calls is the best evidence for warmth there is. */
function isUnproved(row: EndpointRow): boolean {
  const isUsed = row.state === ENDPOINT_STATE.cold ||
    row.state === ENDPOINT_STATE.warming;
  return isUsed && row.reportedAt === -Infinity;
}
