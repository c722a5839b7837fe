/**
 * Requests of callers that take a stream up again after a broken connection.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as serving from "@sardinestep/serving";
import * as streamVersions from "@sardinestep/stream_versions";
import { match } from "ts-pattern";
import type { FlowDependencies, RoutedRequest } from "./flow_types.ts";

/** Retry delay while VMs that may know a stream don't reply, in milliseconds. */
const UNREACHABLE_RETRY_AFTER_MS = 500;

/** Resolves the version at which a stream has to go on, or why it can't. */
export async function findResumedStream(
  deps: FlowDependencies,
  request: RoutedRequest,
): Promise<{ request: RoutedRequest } | { failure: codes.Failure }> {
  const { route, caller, service, customer } = request;
  const { streamOrigin: attemptId, lastEventId } = caller;
  const isResume = route.kind === serving.ROUTE_KIND.stream &&
    streamVersions.isResume({ attemptId, lastEventId });
  if (!isResume) return { request };
  if (!route.isResumable) {
    const reason = streamVersions.RESUME_REFUSAL.notResumable;
    deps.metrics.count("resumed_streams_total", { decision: reason });
    return { failure: buildResumeRefusal(reason) };
  }
  const lookup: streamVersions.LookupResult = attemptId === undefined
    ? { kind: "unknown", isPartial: false }
    : await deps.streamNotes.find(
      streamVersions.buildStreamKey({ attemptId, customer }),
    );
  const endpoints = deps.endpointTracker.getResumeEndpoints(service);
  const decision = streamVersions.decideResume(lookup, endpoints);
  deps.metrics.count("resumed_streams_total", {
    decision: decision.kind === "refused" ? decision.reason : decision.kind,
  });
  return match(decision)
    .with({ kind: "resume" }, ({ version }) => ({
      request: { ...request, streamVersion: version },
    }))
    .with({ kind: "refused" }, ({ reason }) => ({
      failure: buildResumeRefusal(reason),
    }))
    .exhaustive();
}

/** Builds the refusal of a stream that can't go on. */
export function buildResumeRefusal(
  reason: streamVersions.ResumeRefusal,
): codes.Failure {
  return match(reason)
    .with("unknown", () =>
      codes.createFailure(
        "STREAM_VERSION_UNKNOWN",
        "The version that began the stream is not known; begin the stream anew",
      ))
    .with("unreachable", () =>
      codes.createFailure(
        "STREAM_VERSION_UNKNOWN",
        "The VMs that may know the version of the stream don't reply",
        { retryAfterMs: UNREACHABLE_RETRY_AFTER_MS },
      ))
    .with("gone", () =>
      codes.createFailure(
        "STREAM_VERSION_GONE",
        "No endpoint runs the version that began the stream; begin it anew",
      ))
    .with("notResumable", () =>
      codes.createFailure(
        "STREAM_VERSION_UNKNOWN",
        "Streams of the route can't be taken up again; begin the stream anew",
      ))
    .exhaustive();
}
