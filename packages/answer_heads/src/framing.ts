/**
 * Whether a head frames its body in a way that every reader understands alike.
 *
 * @module
 */
import type { HeadFault } from "./head_fault.ts";

/** The parsed head of a final answer. */
export interface AnswerHead {
  readonly status: number;
  /** Values by lower-case names; those of repeated headers joined with commas. */
  readonly headers: ReadonlyMap<string, string>;
  /** Whether its version is HTTP/1.0; not if unset. */
  readonly isHttp10?: boolean;
}

/** What a request asks for. */
export interface AskingRequest {
  readonly method: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

const STATUS_NO_CONTENT = 204;
const STATUS_PARTIAL = 206;
const STATUS_NOT_MODIFIED = 304;
/** Statuses without a body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([
  STATUS_NO_CONTENT,
  STATUS_NOT_MODIFIED,
]);
const CONDITIONAL_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD"]);
const CONDITIONS: ReadonlySet<string> = new Set([
  "if-modified-since",
  "if-none-match",
]);
const RANGES: ReadonlySet<string> = new Set(["range"]);

/**
 * Lowercases names and joins the values of repeated headers with commas.
 *
 * @param raw Alternating names and values.
 * @example
 * ```ts
 * buildHeaderMap([Buffer.from("X-A"), Buffer.from("1")]).get("x-a"); // "1"
 * ```
 */
export function buildHeaderMap(raw: readonly Buffer[]): Map<string, string> {
  const headers = new Map<string, string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toString("latin1").toLowerCase();
    const value = raw[i + 1]!.toString("latin1");
    const existing = headers.get(name);
    headers.set(name, existing === undefined ? value : `${existing}, ${value}`);
  }
  return headers;
}

/** What shows where the body of an answer ends. */
export const FRAMING = {
  /** Its head: there is none. */
  none: "none",
  /** Its head, which states the length. */
  length: "length",
  /** The last chunk, which the endpoint writes whenever it stops. */
  chunks: "chunks",
  /** The end of its connection. */
  connection: "connection",
} as const;
/** A value of {@link FRAMING}. */
export type Framing = typeof FRAMING[keyof typeof FRAMING];

/**
 * Finds what shows where the body of an answer ends.
 *
 * @param head The head of the answer.
 * @param method Method of its request.
 * @example
 * ```ts
 * findFraming({ status: 200, headers: new Map() }, "GET"); // "connection"
 * ```
 */
export function findFraming(
  { status, headers }: AnswerHead,
  method: string,
): Framing {
  if (method === "HEAD" || BODYLESS_STATUSES.has(status)) return FRAMING.none;
  if (headers.has("transfer-encoding")) return FRAMING.chunks;
  return headers.has("content-length") ? FRAMING.length : FRAMING.connection;
}

/**
 * Checks where the body of an answer ends, and whether its request asked for such an
 * answer.
 *
 * A parser that doesn't know a transfer coding reads up to the end of the connection.
 * The header is not forwarded, so a caller would take the coded bytes for the body.
 *
 * @example
 * ```ts
 * const headers = new Map([["transfer-encoding", "gzip"]]);
 * checkFraming({ status: 200, headers }, { method: "GET", headers: [] });
 * // { kind: "coding", value: "gzip" }
 * ```
 */
export function checkFraming(
  { status, headers, isHttp10 = false }: AnswerHead,
  request: AskingRequest,
): HeadFault | undefined {
  const length = headers.get("content-length")?.trim();
  const coding = headers.get("transfer-encoding")?.trim();
  if (length !== undefined && !/^\d+$/.test(length)) {
    return { kind: "length", value: length };
  }
  if (coding !== undefined && coding.toLowerCase() !== "chunked") {
    return { kind: "coding", value: coding };
  }
  if (coding !== undefined && (length !== undefined || isHttp10)) {
    return { kind: "ambiguous" };
  }
  const hasBody = coding !== undefined || Number(length ?? 0) > 0;
  if (status === STATUS_NO_CONTENT && hasBody) {
    return { kind: "unexpectedBody", status };
  }
  return isAskedFor(status, request) ? undefined : { kind: "unasked", status };
}

function isAskedFor(
  status: number,
  { method, headers }: AskingRequest,
): boolean {
  if (status === STATUS_PARTIAL) return hasHeader(headers, RANGES);
  if (status !== STATUS_NOT_MODIFIED) return true;
  return CONDITIONAL_METHODS.has(method) && hasHeader(headers, CONDITIONS);
}

/** Whether alternating names and values have one of some names. */
function hasHeader(
  headers: readonly string[],
  names: ReadonlySet<string>,
): boolean {
  return headers.some((name, i) =>
    i % 2 === 0 && names.has(name.toLowerCase())
  );
}
