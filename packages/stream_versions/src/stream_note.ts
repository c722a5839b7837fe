/**
 * Notes on the software version at which a stream began.
 *
 * @module
 */
import type { CustomerId, EndpointId, ServiceId } from "@sardinestep/types";
import { createHash } from "node:crypto";

/** Identifies a caller's attempt at a service; 128 bits in hexadecimal. */
export type StreamKey = string;
/** Identifies a service's software version; 64 bits in hexadecimal. */
export type VersionTag = string;

/** The version that wrote the first event of a caller's attempt. */
export interface StreamNote {
  readonly key: StreamKey;
  readonly version: VersionTag;
}

/** Input of {@link buildStreamKey}. */
export interface StreamKeyInput {
  /** Id of the caller's attempt. */
  readonly attemptId: string;
  /** Undefined on routes without API keys. */
  readonly customer?: CustomerId;
}

/** The fields of an endpoint's record that identify its version. */
export interface VersionedEndpoint {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly bornMs?: number;
  readonly version?: string;
}

/** Bytes of a {@link StreamKey}. */
export const KEY_BYTES = 16;
/** Bytes of a {@link VersionTag}. */
export const TAG_BYTES = 8;

/**
 * Builds the key of an attempt. It includes the customer, so an attempt id of another
 * customer finds nothing.
 *
 * @example
 * ```ts
 * buildStreamKey({ attemptId: "9c41d07be2a35f68", customer: "dairy" });
 * ```
 */
export function buildStreamKey(
  { attemptId, customer = "" }: StreamKeyInput,
): StreamKey {
  return buildDigest([attemptId, customer], KEY_BYTES);
}

/**
 * Builds the tag of an endpoint's version. Without a version, the tag is that of this
 * process of the endpoint alone.
 *
 * @example
 * ```ts
 * buildVersionTag({ id: "i-1", service: "engine", version: "v1.2" });
 * ```
 */
export function buildVersionTag(
  { id, service, bornMs, version }: VersionedEndpoint,
): VersionTag {
  const parts = version === undefined || version === ""
    ? ["process", service, id, String(bornMs ?? "")]
    : ["version", service, version];
  return buildDigest(parts, TAG_BYTES);
}

function buildDigest(parts: readonly string[], bytes: number): string {
  return createHash("sha256").update(JSON.stringify(parts)).digest("hex")
    .slice(0, 2 * bytes);
}
