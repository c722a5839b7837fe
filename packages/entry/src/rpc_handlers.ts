/**
 * RPC handlers of an entry, called by the other processes of the system.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import type * as timeline from "@sardinestep/timeline";
import { randomUUID } from "node:crypto";
import type { KeyRegistry } from "./key_registry.ts";
import type { MintedKeys } from "./minted_keys.ts";
import type { RequestService } from "./request_service.ts";
import type { ResultKeeper } from "./result_keeper.ts";

/** Components that the handlers delegate to. */
export interface EntryHandlersOptions {
  readonly identity: rpc.Identity;
  readonly getStatus: () => rpc.ProcessStatus;
  readonly timeline: timeline.Timeline;
  readonly resultKeeper: ResultKeeper;
  readonly registry: KeyRegistry;
  readonly mintedKeys: MintedKeys;
  readonly service: RequestService;
  readonly readNow: () => number;
}

/**
 * Builds the RPC handlers of an entry.
 *
 * @param options The components to delegate to.
 * @returns Handlers by method.
 */
export function buildEntryHandlers(
  options: EntryHandlersOptions,
): rpc.Handlers {
  const { identity, resultKeeper, registry, mintedKeys } = options;
  return {
    ping: () => identity,
    status: () => options.getStatus(),
    timeline: (filter) => options.timeline.find(filter),
    keepResult: ({ result, keepMs }) => {
      resultKeeper.storeLocally(result, keepMs);
      return {};
    },
    findResults: (params) => resultKeeper.findLocal(params),
    endRun: ({ keyId, runner }) => {
      resultKeeper.recordRunEnd(keyId, runner);
      return {};
    },
    findAnswer: async ({ keyId, waitMs }) => {
      const status = await registry.waitForStatus(keyId, waitMs);
      return status.kind === "none" ? mintedKeys.findStatus(keyId) : status;
    },
    runMinted: (params) => runForwardedRequest(params, options),
    handOver: (handOver) => mintedKeys.acceptHandOver(handOver),
  };
}

/** Runs a request of a caller that the forwarding entry has authenticated. */
async function runForwardedRequest(
  params: rpc.Methods["runMinted"]["params"],
  options: EntryHandlersOptions,
): Promise<rpc.MintedAnswer> {
  const { customer, key, pipeline, bodyText, deadlineInMs } = params;
  const incoming = {
    requestId: randomUUID(),
    pipeline,
    customer,
    key,
    bodyText,
    deadlineMs: String(deadlineInMs),
    arrivedAt: options.readNow(),
    isForwarded: true,
  };
  const callerConnection = { addDisconnectHandler: () => {} };
  return await options.service.serve(incoming, callerConnection);
}
