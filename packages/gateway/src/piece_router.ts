/**
 * Routes the pieces of a stage to the VM that leads the pool.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import * as serving from "@sardinestep/serving";
import type { ServiceId } from "@sardinestep/types";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import type { PeerMesh } from "./peer_mesh.ts";
import type { PieceLeader } from "./piece_leader.ts";
import { ResultReleaser } from "./result_releaser.ts";
import type { WireAdapter } from "./ports.ts";

/** Number of leaders that are tried for one group. */
const MAX_LEADER_ATTEMPTS = 3;
/** Timeout of a cancel or release message to another VM, in milliseconds. */
const NOTIFICATION_TIMEOUT_MS = 500;
/**
 * How long to wait for a leader's answer after the group's last useful start, in
 * milliseconds: covers the call itself and the way back.
 */
const ANSWER_MARGIN_MS = 1_500;

/** Dependencies of a {@link PieceRouter}. */
export interface PieceRouterOptions {
  readonly vmId: string;
  readonly mesh: PeerMesh;
  readonly endpointTracker: EndpointTracker;
  readonly wire: WireAdapter;
  readonly events: logger.EventLog;
  readonly getLeader: (
    service: ServiceId,
    shard: serving.ShardId,
  ) => PieceLeader;
}

/** Runs pieces on the VM that leads the pool. */
export class PieceRouter {
  readonly #options: PieceRouterOptions;
  readonly #directReleaser: ResultReleaser;

  /** @param options This VM, the other VMs and the leaders on this VM. */
  constructor(options: PieceRouterOptions) {
    this.#options = options;
    const { endpointTracker } = options;
    this.#directReleaser = new ResultReleaser(options.wire, {
      tryStartCall: (address) =>
        endpointTracker.startRelease(
          address,
          (endpoint, now) =>
            endpointTracker.limits.getWaitMs(endpoint, now) === 0,
        ),
      handleNotices: (address, notices) =>
        endpointTracker.recordNoticesOf(address, notices),
    });
  }

  /**
   * Runs the pieces of a stage.
   *
   * If the leader crashes or does not answer, the group is sent to the next leader,
   * which repeats pieces that are already done; pieces may run more than once.
   */
  async run(
    service: ServiceId,
    shard: serving.ShardId,
    group: serving.PieceGroup,
  ): Promise<serving.PieceOutcome> {
    const failed = new Set<string>();
    let outcome: serving.PieceOutcome = NO_LEADER;
    for (let i = 0; i < MAX_LEADER_ATTEMPTS; i++) {
      const leader = this.#pickLeader(service, shard, failed);
      if (leader === undefined) return outcome;
      outcome = await this.#runAtLeader(leader, service, shard, group);
      const mayRetry = outcome.kind === "unavailable" &&
        outcome.reason !== serving.CANCELLED &&
        outcome.reason !== serving.QUARANTINED &&
        performance.now() < group.giveUpAt;
      if (!mayRetry) return outcome;
      failed.add(leader.vmId);
    }
    return outcome;
  }

  /** Cancels the pieces of a request. */
  cancel(service: ServiceId, shard: serving.ShardId, requestId: string): void {
    const leader = this.#pickLeader(service, shard);
    if (leader === undefined) return;
    if (this.#isThisVm(leader)) {
      return this.#options.getLeader(service, shard).cancel(requestId);
    }
    void this.#options.mesh.peers.call(
      leader.rpc,
      "cancelPieces",
      { service, shard, requestId },
      { timeoutMs: NOTIFICATION_TIMEOUT_MS },
    );
  }

  /** Releases results; directly at the endpoints if the leader doesn't answer. */
  async release(
    service: ServiceId,
    shard: serving.ShardId,
    handles: readonly string[],
  ): Promise<void> {
    if (handles.length === 0) return;
    const leader = this.#pickLeader(service, shard);
    if (leader === undefined) return this.#directReleaser.add(handles);
    if (this.#isThisVm(leader)) {
      return this.#options.getLeader(service, shard).release(handles);
    }
    const response = await this.#options.mesh.peers.call(
      leader.rpc,
      "releaseResults",
      { service, shard, handles },
      { timeoutMs: NOTIFICATION_TIMEOUT_MS },
    );
    if (response.isErr()) this.#directReleaser.add(handles);
  }

  #pickLeader(
    service: ServiceId,
    shard: serving.ShardId,
    failed?: ReadonlySet<string>,
  ): serving.ServingMember | undefined {
    return this.#options.mesh.leaders.pickLeader(service, shard, failed);
  }

  async #runAtLeader(
    leader: serving.ServingMember,
    service: ServiceId,
    shard: serving.ShardId,
    group: serving.PieceGroup,
  ): Promise<serving.PieceOutcome> {
    if (this.#isThisVm(leader)) {
      return await this.#options.getLeader(service, shard).addGroup(group);
    }
    const { dueAt, expiresAt, giveUpAt, ...rest } = group;
    const now = performance.now();
    const answer = await this.#options.mesh.peers.call(
      leader.rpc,
      "runPieces",
      {
        ...rest,
        service,
        shard,
        dueInMs: dueAt - now,
        expiresInMs: expiresAt - now,
        giveUpInMs: giveUpAt - now,
      },
      { timeoutMs: Math.max(0, expiresAt - now) + ANSWER_MARGIN_MS },
    );
    if (answer.isOk()) return answer.value;
    const reason = `leader ${leader.vmId}: ${answer.error.message}`;
    return { kind: "unavailable", reason };
  }

  #isThisVm(leader: serving.ServingMember): boolean {
    return leader.vmId === this.#options.vmId;
  }
}

const NO_LEADER: serving.PieceOutcome = {
  kind: "unavailable",
  reason: "no leader",
};
