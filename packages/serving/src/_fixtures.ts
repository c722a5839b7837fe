/** Values shared by the tests of this package. */
import type { PoolSpec, Route, ServiceSpec, ServingEndpoint } from "./model.ts";
import type { PieceGroup, QueuedGroup } from "./piece_queue.ts";

/** A pool whose calls cost 150 ms plus 10 ms for each of at most ten pieces. */
export const POOL: PoolSpec = {
  batchSize: 10,
  callMs: 150,
  pieceMs: 10,
  roomBytes: 1_000_000,
  resultTtlMs: 4_000,
};

export function buildRoute(more: Partial<Route> = {}): Route {
  return {
    name: "drafts",
    host: "a.example",
    pathPrefix: "/x/",
    kind: "stream",
    timeoutMs: 8_000,
    objectiveMs: 1_700,
    priority: 1,
    targets: [{ service: "engine", weight: 1 }],
    maxAttempts: 1,
    stages: [],
    isPublic: false,
    isResumable: false,
    ...more,
  };
}

export function buildService(
  name: string,
  more: Partial<ServiceSpec> = {},
): ServiceSpec {
  return {
    name,
    healthPath: "/healthz",
    coldStartMs: 0,
    coldPerSecond: 0,
    ...more,
  };
}

export function buildGroup(more: Partial<PieceGroup> = {}): PieceGroup {
  return {
    requestId: "r1",
    fingerprint: "f1",
    stage: 0,
    pieces: 4,
    inputs: [],
    resultBytes: 1_000,
    rank: 0,
    localBytes: {},
    isInvested: false,
    dueAt: 1_000,
    expiresAt: 5_000,
    giveUpAt: 2_000,
    ...more,
  };
}

export function buildQueued(more: Partial<PieceGroup> = {}): QueuedGroup {
  const group = buildGroup(more);
  const waiting = Array.from({ length: group.pieces }, (_, piece) => piece);
  return { group, queuedAt: 0, waiting, reserved: new Map() };
}

export function buildEndpoint(
  id: string,
  more: Partial<ServingEndpoint> = {},
): ServingEndpoint {
  return {
    id,
    service: "roster",
    address: "10.0.0.1:1",
    zone: "a",
    slots: 1,
    isDraining: false,
    coldMs: 0,
    bornMs: 1,
    ...more,
  };
}
