/**
 * Mixed load of callers that repeat, for fault pairs.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { setTimeout as sleep } from "node:timers/promises";
import {
  buildRequest,
  createKey,
  rotateUrls,
  type SmallPipeline,
} from "../small_plan.ts";

/** Requests come in bursts, so that a cold worker could get too many at once. */
const BURST = 20;
const BURST_INTERVAL_MS = 250;
const MAX_ATTEMPTS = 6;
/** A caller comes back after half a second at the latest. */
const MAX_WAIT_MS = 500;
/** Each of so many requests is sent twice at once, through two entries. */
const DUPLICATE_EVERY = 4;

interface LoadKind {
  readonly pipeline: SmallPipeline;
  readonly deadlineMs: number;
  readonly key: "uuid" | "minted";
}

const KINDS: readonly LoadKind[] = [
  { pipeline: "issue", deadlineMs: 2_000, key: "uuid" },
  { pipeline: "issue", deadlineMs: 2_000, key: "minted" },
  { pipeline: "lookup", deadlineMs: 1_000, key: "uuid" },
  { pipeline: "draft", deadlineMs: 2_000, key: "uuid" },
  { pipeline: "scaled-issue", deadlineMs: 2_500, key: "uuid" },
];

/** Load that runs until it is stopped. */
export interface RunningLoad {
  /** Sends nothing more, and gives what all callers were told. */
  stop(): Promise<testbed.CallerResult[]>;
}

/**
 * Starts the load.
 *
 * @param deployment Whose entries are sent to, in turn.
 * @param minted Keys for a part of the requests; each is used by one request.
 * @returns The running load.
 */
export function startMixedLoad(
  deployment: testbed.Deployment,
  minted: readonly string[],
): RunningLoad {
  const keys = [...minted];
  const sends: Promise<testbed.CallerResult>[] = [];
  let isOpen = true;
  const sendAll = async () => {
    for (let first = 0; isOpen; first += BURST) {
      for (let turn = first; turn < first + BURST; turn += 1) {
        sends.push(...sendOne(deployment, turn, keys));
      }
      await sleep(BURST_INTERVAL_MS);
    }
  };
  const sending = sendAll();
  return {
    stop: async () => {
      isOpen = false;
      await sending;
      return await Promise.all(sends);
    },
  };
}

function sendOne(
  deployment: testbed.Deployment,
  turn: number,
  minted: string[],
): Promise<testbed.CallerResult>[] {
  const kind = KINDS[turn % KINDS.length]!;
  const key = (kind.key === "minted" ? minted.shift() : undefined) ??
    createKey();
  const request = buildRequest(kind.pipeline, turn, kind.deadlineMs);
  const copies = turn % DUPLICATE_EVERY === 0 ? 2 : 1;
  return Array.from(
    { length: copies },
    (_, copy) =>
      testbed.sendRequest(request, {
        urls: rotateUrls(deployment, turn + copy),
        key,
        maxAttempts: MAX_ATTEMPTS,
        maxWaitMs: MAX_WAIT_MS,
      }),
  );
}
