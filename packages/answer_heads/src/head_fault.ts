/**
 * What is wrong with the head of an answer.
 *
 * @module
 */
import { match } from "ts-pattern";

/** Parts of a head. */
export const HEAD_PART = {
  version: "version",
  status: "status",
  reason: "reason phrase",
  /** The first byte of a header line, or of the empty line. */
  lineStart: "start of a line",
  name: "header name",
  value: "header value",
  lineEnd: "end of a line",
  /** The end of the empty line. */
  headEnd: "end of the head",
  /** All that follows the head. */
  body: "body",
} as const;
/** A value of {@link HEAD_PART}. */
export type HeadPart = typeof HEAD_PART[keyof typeof HEAD_PART];

/** Lowest status of HTTP. */
export const STATUS_MIN = 100;
/** Highest status of HTTP. */
export const STATUS_MAX = 599;

/** Characters of a value that a message quotes. */
const MAX_QUOTED_LENGTH = 40;

/** What is wrong with the head of an answer. */
export type HeadFault =
  /** A byte that its part may not have. */
  | { readonly kind: "byte"; readonly part: HeadPart; readonly byte: number }
  /** A status that is none, or that needs another request. */
  | { readonly kind: "status"; readonly status: number }
  | { readonly kind: "unasked"; readonly status: number }
  /** A body behind a status that has none. */
  | { readonly kind: "unexpectedBody"; readonly status: number }
  | { readonly kind: "length"; readonly value: string }
  | { readonly kind: "coding"; readonly value: string }
  /** A length beside a transfer coding, or a coding in HTTP/1.0. */
  | { readonly kind: "ambiguous" };

/**
 * Says what is wrong with a head.
 *
 * @example
 * ```ts
 * formatFault({ kind: "byte", part: HEAD_PART.name, byte: 0x20 });
 * // "Answer has byte 0x20 in a header name"
 * ```
 */
export function formatFault(fault: HeadFault): string {
  return match(fault)
    .with(
      { kind: "byte" },
      ({ part, byte }) =>
        `Answer has byte 0x${
          byte.toString(16).padStart(2, "0")
        } in its ${part}`,
    )
    .with(
      { kind: "status" },
      ({ status }) =>
        `Answer has status "${
          String(status).padStart(3, "0")
        }", expected ${STATUS_MIN} to ${STATUS_MAX}`,
    )
    .with(
      { kind: "unasked" },
      ({ status }) =>
        `Answer has status ${status}, which its request did not ask for`,
    )
    .with(
      { kind: "unexpectedBody" },
      ({ status }) => `Answer has status ${status} and a body`,
    )
    .with(
      { kind: "length" },
      ({ value }) =>
        `Answer has content length "${shorten(value)}", expected digits`,
    )
    .with(
      { kind: "coding" },
      ({ value }) =>
        `Answer has transfer coding "${shorten(value)}", expected "chunked"`,
    )
    .with(
      { kind: "ambiguous" },
      () => "Answer has a transfer coding beside a length or HTTP/1.0",
    )
    .exhaustive();
}

/** A head may be long; callers get its faults in their answers. */
function shorten(value: string): string {
  return value.length > MAX_QUOTED_LENGTH
    ? `${value.slice(0, MAX_QUOTED_LENGTH)}...`
    : value;
}
