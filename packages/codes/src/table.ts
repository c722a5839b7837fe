/**
 * The table of result codes. `docs/RESULT-CODES.md` shows the same table, which a
 * test verifies.
 *
 * Ranges: 0 success, 1000 invalid input, 2000 load, 3000 calls that may not be
 * repeated, 4000 stages, 5000 operator commands, 6000 ports.
 *
 * @module
 */
import type { Outcome } from "@sardinestep/types";

/** One row of the table. */
export interface CodeRow {
  readonly code: number;
  readonly httpStatus: number;
  /** Outcome of the request; `varies` if each answer states its own. */
  readonly outcome: Outcome | "varies";
  /** Whether the answer tells after what time to retry. */
  readonly retryAfter: boolean;
  readonly meaning: string;
}

function row(
  code: number,
  httpStatus: number,
  outcome: Outcome | "varies",
  retryAfter: boolean,
  meaning: string,
): CodeRow {
  return { code, httpStatus, outcome, retryAfter, meaning };
}

const NOT_RUN = "not run";
const UNKNOWN = "unknown";

/** Every code that a caller or operator can receive, by name. */
export const CODES = {
  OK: row(0, 200, "completed", false, "The whole answer"),

  INVALID_JSON: row(1001, 400, NOT_RUN, false, "The body is not JSON"),
  INVALID_REQUEST: row(
    1002,
    400,
    NOT_RUN,
    false,
    "A field is missing, wrong or unknown",
  ),
  BODY_TOO_LARGE: row(1003, 413, NOT_RUN, false, "The body exceeds the limit"),
  UNKNOWN_PIPELINE: row(
    1004,
    404,
    NOT_RUN,
    false,
    "This site offers no such pipeline",
  ),
  KEY_REQUIRED: row(
    1005,
    400,
    NOT_RUN,
    false,
    "The pipeline may not be repeated and needs an Idempotency-Key",
  ),
  KEY_INVALID: row(
    1006,
    400,
    NOT_RUN,
    false,
    "The key is neither a UUIDv7 nor a minted key",
  ),
  KEY_EXPIRED: row(
    1007,
    410,
    UNKNOWN,
    false,
    "The key is older than the kept window",
  ),
  DEADLINE_PASSED: row(
    1008,
    408,
    NOT_RUN,
    false,
    "The deadline had passed on arrival",
  ),
  CREDENTIAL_INVALID: row(
    1009,
    401,
    NOT_RUN,
    false,
    "The customer's credential is missing or wrong",
  ),
  KEY_REUSED: row(
    1010,
    409,
    NOT_RUN,
    false,
    "The key belongs to a request with another body",
  ),
  CALLER_TOO_SLOW: row(
    1011,
    408,
    NOT_RUN,
    false,
    "The caller sent its body too slowly",
  ),
  NO_SUCH_ROUTE: row(
    1012,
    404,
    NOT_RUN,
    false,
    "There is no such path or method",
  ),
  HEADERS_TOO_LARGE: row(
    1013,
    431,
    NOT_RUN,
    false,
    "The headers exceed the limit",
  ),

  DEADLINE_OUT_OF_REACH: row(
    2001,
    503,
    NOT_RUN,
    true,
    "The finish is predicted after the deadline",
  ),
  QUEUE_FULL: row(2002, 503, NOT_RUN, true, "The bounded queue is full"),
  CUSTOMER_LIMIT: row(2003, 429, NOT_RUN, true, "The customer is at its limit"),
  STAGE_UNAVAILABLE: row(
    2004,
    503,
    NOT_RUN,
    true,
    "No endpoint of a stage may take work",
  ),
  SHUTTING_DOWN: row(
    2005,
    503,
    NOT_RUN,
    true,
    "This entry is leaving; another one serves",
  ),
  NO_CONFIGURATION: row(
    2006,
    503,
    NOT_RUN,
    true,
    "This entry has no configuration yet",
  ),
  SHED_AFTER_START: row(
    2007,
    503,
    UNKNOWN,
    true,
    "Given up under load after a stage had run",
  ),
  REQUEST_QUARANTINED: row(
    2008,
    503,
    NOT_RUN,
    true,
    "Endpoints crashed under equal requests; this one is not run",
  ),
  STREAM_VERSION_UNKNOWN: row(
    2009,
    503,
    NOT_RUN,
    true,
    "The software version that began the stream is not known",
  ),
  STREAM_VERSION_GONE: row(
    2010,
    503,
    NOT_RUN,
    false,
    "No endpoint is left of the software version that began the stream",
  ),

  CLAIM_UNAVAILABLE: row(
    3001,
    503,
    UNKNOWN,
    true,
    "The log is out of reach: this attempt was not run, of the key nothing is known",
  ),
  HELD_ELSEWHERE: row(
    3002,
    409,
    UNKNOWN,
    true,
    "Another attempt under this key is running",
  ),
  HOLDER_GONE: row(
    3003,
    409,
    UNKNOWN,
    false,
    "The holder of this key is gone without an outcome",
  ),
  MINTER_GONE: row(
    3004,
    409,
    UNKNOWN,
    false,
    "The entry that minted this key is gone: this attempt was not run",
  ),
  ANSWER_NOT_KEPT: row(
    3005,
    200,
    "completed",
    false,
    "Completed earlier; the answer is no longer kept",
  ),
  KEY_CLOSED: row(
    3006,
    410,
    NOT_RUN,
    false,
    "The key was closed unused and never runs; take a fresh key",
  ),

  STAGE_FAILED: row(
    4001,
    502,
    UNKNOWN,
    true,
    "A stage failed and its retry budget is spent",
  ),
  DEADLINE_EXCEEDED: row(
    4002,
    504,
    UNKNOWN,
    true,
    "The deadline passed while a stage ran",
  ),
  OUTCOME_UNKNOWN: row(
    4003,
    502,
    UNKNOWN,
    false,
    "A call that may not be repeated broke after it was sent",
  ),
  STAGE_REFUSED: row(
    4004,
    503,
    NOT_RUN,
    true,
    "The service refused the call before running it",
  ),
  INTERNAL: row(
    4005,
    500,
    UNKNOWN,
    true,
    "A fault of the system itself; the log has a line",
  ),

  CONFIG_INVALID: row(
    5001,
    400,
    NOT_RUN,
    false,
    "The configuration or settings are invalid",
  ),
  CONFIG_BASE_STALE: row(
    5002,
    409,
    NOT_RUN,
    false,
    "Another version is in force than the one this is based on",
  ),
  LOG_UNAVAILABLE: row(
    5003,
    503,
    NOT_RUN,
    true,
    "The log service is out of reach",
  ),
  CONTROL_UNREACHABLE: row(
    5004,
    503,
    NOT_RUN,
    true,
    "No control process answered",
  ),
  NOT_FOUND: row(5005, 404, NOT_RUN, false, "There is nothing of that name"),
  PUBLISH_UNKNOWN: row(
    5006,
    504,
    UNKNOWN,
    true,
    "The record was sent and could not be read back",
  ),
  USAGE: row(5007, 400, NOT_RUN, false, "The command line is wrong"),
  SETTINGS_DIFFER: row(
    5008,
    409,
    NOT_RUN,
    true,
    "VMs differ in their settings, refused them or don't answer",
  ),

  PORT_NOT_SENT: row(
    6001,
    503,
    NOT_RUN,
    true,
    "No connection: nothing was sent",
  ),
  PORT_REFUSED: row(
    6002,
    503,
    NOT_RUN,
    true,
    "The other side refused without acting",
  ),
  PORT_RATE_LIMITED: row(
    6003,
    429,
    NOT_RUN,
    true,
    "The other side is at its rate limit",
  ),
  PORT_ANSWER_LOST: row(
    6004,
    504,
    UNKNOWN,
    true,
    "Sent, and the answer was lost",
  ),
  PORT_BAD_ANSWER: row(
    6005,
    502,
    UNKNOWN,
    false,
    "The answer does not follow the protocol",
  ),
  PORT_CANCELLED: row(6006, 499, UNKNOWN, false, "Cancelled by this side"),
} as const satisfies Record<string, CodeRow>;

/** The name of a result code. */
export type CodeName = keyof typeof CODES;
