/**
 * One call as the endpoint stand-in runs it.
 *
 * @module
 */
import { createHash } from "node:crypto";

const DIGEST_LENGTH = 16;

/** What a call asks for. */
export interface RunRequest {
  readonly callId: string;
  readonly operation: string;
  readonly key?: string;
  readonly priority: number;
  readonly stream: boolean;
  readonly input: unknown;
  /** Hash of the input, by which an answer shows whose it is. */
  readonly digest: string;
}

/** How far a run has come. */
export type RunState = "waiting" | "running" | "finished" | "failed";

/** Who is told of parts and of the end. */
export interface RunListener {
  /** A part more is in `parts`. */
  handlePart(): void;
  /** The run has finished or failed. */
  handleEnd(): void;
}

/** A run with what it has produced so far. */
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

/** Builds the short hash of a text. */
export function buildDigest(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(
    0,
    DIGEST_LENGTH,
  );
}
