/**
 * One call as a fake endpoint runs it.
 *
 * @module
 */
import { createHash } from "node:crypto";

const DIGEST_CHARS = 16;

/** Parameters of a call. */
export interface RunRequest {
  readonly callId: string;
  readonly operation: string;
  readonly key?: string;
  readonly priority: number;
  readonly stream: boolean;
  readonly input: unknown;
  /** Hash of the input, by which a test matches an answer to its call. */
  readonly digest: string;
}

/** Progress of a run. */
export type RunState = "waiting" | "running" | "finished" | "failed";

/** Receives new parts and the end of a run. */
export interface RunListener {
  /** Called after a part was added to `parts`. */
  handlePart(): void;
  /** Called when the run has finished or failed. */
  handleEnd(): void;
}

/** A run and its output so far. */
export interface Run {
  readonly request: RunRequest;
  readonly arrival: number;
  state: RunState;
  failure: string;
  startedAt: number;
  workerMs: number;
  readonly parts: string[];
  output: unknown;
  timer?: NodeJS.Timeout | NodeJS.Immediate;
  readonly listeners: Set<RunListener>;
}

/** Creates a waiting run. */
export function createRun(request: RunRequest, arrival: number): Run {
  return {
    request,
    arrival,
    state: "waiting",
    failure: "",
    startedAt: 0,
    workerMs: 0,
    parts: [],
    output: null,
    listeners: new Set(),
  };
}

/** Builds a short hash of a text. */
export function buildDigest(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(
    0,
    DIGEST_CHARS,
  );
}
