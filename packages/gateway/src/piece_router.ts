/**
 * Sends the pieces of a stage to the VM that leads the pool.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import * as serving from "@sardinestep/serving";
import type { ServiceId } from "@sardinestep/types";
import type { PeerMesh } from "./peer_mesh.ts";
import type { PieceLeader } from "./piece_leader.ts";
import { ResultReleases } from "./result_releases.ts";
import type { ServingWire } from "./ports.ts";

/** Leaders that one group is tried at. */
const MAX_LEADERS = 3;
/** Longest wait for a notice to another VM, in milliseconds. */
const NOTICE_TIMEOUT_MS = 500;
/**
 * Time beyond a group's last useful start for which its leader's answer is
 * awaited, in milliseconds: the call itself and the way back.
 */
const ANSWER_SLACK_MS = 1_500;

/** What {@link PieceRouter} needs. */
export interface PieceRouterOptions {
  readonly vmId: string;
  readonly mesh: PeerMesh;
  readonly wire: ServingWire;
  readonly events: logger.EventLog;
  readonly getLeader: (
    service: ServiceId,
    shard: serving.ShardId,
  ) => PieceLeader;
}

/** Has pieces made by whichever VM leads the pool. */
export class PieceRouter {
  readonly #options: PieceRouterOptions;
  readonly #direct: ResultReleases;

  /** @param options This VM, the others and its own leaders. */
  constructor(options: PieceRouterOptions) {
    this.#options = options;
    this.#direct = new ResultReleases(options.wire);
  }

  /**
   * Has the pieces of a stage made.
   *
   * A leader that dies or falls silent loses the group to the next one; pieces
   * that the first had made are made again, which is allowed.
   */
  async run(
    service: ServiceId,
    shard: serving.ShardId,
    group: serving.PieceGroup,
  ): Promise<serving.PieceOutcome> {
    const failed = new Set<string>();
    let outcome: serving.PieceOutcome = NO_LEADER;
    for (let i = 0; i < MAX_LEADERS; i++) {
      const leader = this.#pickLeader(service, shard, failed);
      if (leader === undefined) return outcome;
      outcome = await this.#runAt(leader, service, shard, group);
      const mayRetry = outcome.kind === "unavailable" &&
        outcome.reason !== serving.CANCELLED &&
        outcome.reason !== serving.QUARANTINED &&
        performance.now() < group.giveUpAt;
      if (!mayRetry) return outcome;
      failed.add(leader.vmId);
    }
    return outcome;
  }

  /** Drops what waits of a request. */
  cancel(service: ServiceId, shard: serving.ShardId, requestId: string): void {
    const leader = this.#pickLeader(service, shard);
    if (leader === undefined) return;
    if (this.#isOwn(leader)) {
      return this.#options.getLeader(service, shard).cancel(requestId);
    }
    void this.#options.mesh.peers.call(
      leader.rpc,
      "cancelPieces",
      { service, shard, requestId },
      { timeoutMs: NOTICE_TIMEOUT_MS },
    );
  }

  /** Gives up results; without an answer of the leader, at the endpoints. */
  async release(
    service: ServiceId,
    shard: serving.ShardId,
    handles: readonly string[],
  ): Promise<void> {
    if (handles.length === 0) return;
    const leader = this.#pickLeader(service, shard);
    if (leader === undefined) return this.#direct.add(handles);
    if (this.#isOwn(leader)) {
      return this.#options.getLeader(service, shard).release(handles);
    }
    const told = await this.#options.mesh.peers.call(
      leader.rpc,
      "releaseResults",
      { service, shard, handles },
      { timeoutMs: NOTICE_TIMEOUT_MS },
    );
    if (told.isErr()) this.#direct.add(handles);
  }

  #pickLeader(
    service: ServiceId,
    shard: serving.ShardId,
    failed?: ReadonlySet<string>,
  ): serving.ServingMember | undefined {
    return this.#options.mesh.leaders.pickLeader(service, shard, failed);
  }

  async #runAt(
    leader: serving.ServingMember,
    service: ServiceId,
    shard: serving.ShardId,
    group: serving.PieceGroup,
  ): Promise<serving.PieceOutcome> {
    if (this.#isOwn(leader)) {
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
      { timeoutMs: Math.max(0, expiresAt - now) + ANSWER_SLACK_MS },
    );
    if (answer.isOk()) return answer.value;
    const reason = `leader ${leader.vmId}: ${answer.error.message}`;
    return { kind: "unavailable", reason };
  }

  #isOwn(leader: serving.ServingMember): boolean {
    return leader.vmId === this.#options.vmId;
  }
}

const NO_LEADER: serving.PieceOutcome = {
  kind: "unavailable",
  reason: "no leader",
};
