/**
 * Mixed load of callers that retry, for fault pairs.
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

/** Requests are sent in bursts, so that a cold worker could be overloaded. */
const BURST_SIZE = 20;
const BURST_INTERVAL_MS = 250;
const MAX_ATTEMPTS = 6;
/** Upper bound of a caller's wait before its retry. */
const MAX_WAIT_MS = 500;
/** Every n-th request is sent twice at once, through two entries. */
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

/** A load that runs until it is stopped. */
export interface RunningLoad {
  /** Stops sending and returns the results of all callers. */
  stop(): Promise<testbed.CallerResult[]>;
}

/**
 * Starts the load.
 *
 * @param deployment Deployment whose entries receive the requests, round robin.
 * @param minted Minted keys for some of the requests, one key per request.
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
    for (let first = 0; isOpen; first += BURST_SIZE) {
      for (let index = first; index < first + BURST_SIZE; index += 1) {
        sends.push(...sendRequestCopies(deployment, index, keys));
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

function sendRequestCopies(
  deployment: testbed.Deployment,
  index: number,
  minted: string[],
): Promise<testbed.CallerResult>[] {
  const kind = KINDS[index % KINDS.length]!;
  const key = (kind.key === "minted" ? minted.shift() : undefined) ??
    createKey();
  const request = buildRequest(kind.pipeline, index, kind.deadlineMs);
  const copies = index % DUPLICATE_EVERY === 0 ? 2 : 1;
  return Array.from(
    { length: copies },
    (_, copy) =>
      testbed.sendRequest(request, {
        urls: rotateUrls(deployment, index + copy),
        key,
        maxAttempts: MAX_ATTEMPTS,
        maxWaitMs: MAX_WAIT_MS,
      }),
  );
}
