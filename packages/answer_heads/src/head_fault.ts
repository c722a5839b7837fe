/**
 * What is wrong with the head of an answer.
 *
 * @module
 */
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

/** A byte that its part of the head may not have. */
export interface HeadFault {
  readonly part: HeadPart;
  readonly byte: number;
}

/**
 * Says what is wrong with a head.
 *
 * @example
 * ```ts
 * formatFault({ part: HEAD_PART.name, byte: 0x20 });
 * // "Answer has byte 0x20 in its header name"
 * ```
 */
export function formatFault({ part, byte }: HeadFault): string {
  const hex = byte.toString(16).padStart(2, "0");
  return `Answer has byte 0x${hex} in its ${part}`;
}
