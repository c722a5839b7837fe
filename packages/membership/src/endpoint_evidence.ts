/**
 * Decides an endpoint's state by each kind of evidence. These functions change
 * nothing; the table applies their results.
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
  type EndpointObservation,
  type EndpointRow,
  isAtLeastAsSevere,
  isFinal,
} from "./endpoint_row.ts";

/**
 * Decides the state by a load report of the known instance.
 *
 * @param row The current row.
 * @param report A report newer than the last applied one.
 * @returns The new state; undefined when it does not change.
 */
export function decideByReport(
  row: EndpointRow,
  report: LoadReport,
): EndpointState | undefined {
  const isNewer = report.measuredAt > row.negativeEvidenceAt;
  if (row.state === ENDPOINT_STATE.gone) {
    // The endpoint is listed again and the same instance still reports, so the
    // list was wrong. It restarts as cold because its state in the meantime is
    // unknown.
    return row.listedAs === "live" && isNewer ? ENDPOINT_STATE.cold : undefined;
  }
  if (isFinal(row.state)) return undefined;
  const mayApply = isNewer || isAtLeastAsSevere(report.state, row.state);
  return mayApply ? report.state : undefined;
}

/**
 * Decides the state by an entry's observation of the known instance.
 *
 * @param row The current row.
 * @param observed The observed event.
 * @returns The new state; undefined when it does not change.
 */
export function decideByObservation(
  row: EndpointRow,
  observed: EndpointObservation["news"],
): EndpointState | undefined {
  if (isFinal(row.state)) return undefined;
  return match(observed)
    .with(
      "silent",
      "cold",
      "leaving",
      (state) => isAtLeastAsSevere(state, row.state) ? state : undefined,
    )
    // Derived from a count of finished calls: an endpoint's own reports take
    // precedence, and a silent endpoint must answer first.
    .with("warm", (state) => isUnreported(row) ? state : undefined)
    // The endpoint may have restarted while it was silent.
    .with(
      "answered",
      () =>
        row.state === ENDPOINT_STATE.silent ? ENDPOINT_STATE.cold : undefined,
    )
    .exhaustive();
}

/**
 * Decides the state by another control's gossip about the known instance.
 *
 * @param row The current row.
 * @param state The state in the other control's table.
 * @param options `hasRecentLocalEvidence`: this VM has recent negative evidence.
 * @returns The new state; undefined when it does not change.
 */
export function decideByGossip(
  row: EndpointRow,
  state: EndpointFacts["state"],
  options: { readonly hasRecentLocalEvidence: boolean },
): EndpointState | undefined {
  if (isFinal(row.state)) return undefined;
  // The other control has a newer list, which this one will read soon. Until
  // then, reports of the same instance must not make the endpoint usable again.
  if (state === ENDPOINT_STATE.gone) return ENDPOINT_STATE.leaving;
  if (isAtLeastAsSevere(state, row.state)) return state;
  return isUnreported(row) && !options.hasRecentLocalEvidence
    ? state
    : undefined;
}

/** Tells whether only a call count can show that the endpoint is warm. */
function isUnreported(row: EndpointRow): boolean {
  const isColdOrWarming = row.state === ENDPOINT_STATE.cold ||
    row.state === ENDPOINT_STATE.warming;
  return isColdOrWarming && row.reportedAt === -Infinity;
}
