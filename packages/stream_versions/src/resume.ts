/**
 * Decides where a stream may go on.
 *
 * @module
 */
import type { LookupResult } from "./lookup.ts";
import {
  buildVersionTag,
  type VersionedEndpoint,
  type VersionTag,
} from "./stream_note.ts";

/** What a caller's request says about the stream that it takes up. */
export interface ResumeClaim {
  /** The caller's attempt that brought the first event. */
  readonly attemptId?: string;
  /** Last event that the caller received. */
  readonly lastEventId?: string;
}

/** Where a request may run. */
export type ResumeDecision =
  /** Only at endpoints of one version. */
  | { readonly kind: "resume"; readonly version: VersionTag }
  | { readonly kind: "refused"; readonly reason: ResumeRefusal };

/** Why a stream can't go on. */
export const RESUME_REFUSAL = {
  /** The version at which it began is not known. */
  unknown: "unknown",
  /** The same, but VMs that may know it did not reply. */
  unreachable: "unreachable",
  /** No endpoint of its version is left. */
  gone: "gone",
  /** Its route resumes no streams. */
  notResumable: "notResumable",
} as const;
/** A value of {@link RESUME_REFUSAL}. */
export type ResumeRefusal = typeof RESUME_REFUSAL[keyof typeof RESUME_REFUSAL];

/** Whether a request takes up a stream that began in another attempt. */
export function isResume({ attemptId, lastEventId }: ResumeClaim): boolean {
  return attemptId !== undefined || lastEventId !== undefined;
}

/**
 * Decides whether a stream may go on, and at which version.
 *
 * @param lookup What is known of its version.
 * @param endpoints Endpoints that may serve resumes now.
 * @returns A resume or a refusal; an unknown version is never taken for any other.
 */
export function decideResume(
  lookup: LookupResult,
  endpoints: readonly VersionedEndpoint[],
): ResumeDecision {
  if (lookup.kind === "unknown") {
    const reason = lookup.isPartial
      ? RESUME_REFUSAL.unreachable
      : RESUME_REFUSAL.unknown;
    return { kind: "refused", reason };
  }
  const { version } = lookup;
  const isLeft = endpoints.some((endpoint) => isOfVersion(endpoint, version));
  return isLeft
    ? { kind: "resume", version }
    : { kind: "refused", reason: RESUME_REFUSAL.gone };
}

/** Whether an endpoint runs a version. */
export function isOfVersion(
  endpoint: VersionedEndpoint,
  version: VersionTag,
): boolean {
  return buildVersionTag(endpoint) === version;
}
