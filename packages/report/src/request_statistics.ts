/**
 * Ends of requests by route and customer, and causes of those not served.
 *
 * @module
 */
import type { CauseCount, EndCounts, RequestGroup } from "./request_report.ts";
import {
  type RequestEnd,
  type TrackedRequest,
  UNKNOWN,
} from "./request_tracker.ts";

type MutableEnds = { -readonly [Name in keyof EndCounts]: number };

interface GroupCounts {
  readonly all: MutableEnds;
  readonly deferred: MutableEnds;
  readonly returns: MutableEnds;
  withoutLane: number;
  withoutReturn: number;
  marginMs: number;
  margins: number;
}

/**
 * Most different causes that are counted: reasons contain messages of endpoints, which
 * may differ each time.
 */
const MAX_CAUSES = 1_000;
const OTHER_CAUSES = "other causes";
const LANE_DEFERRED = "deferred";

/** Counts the ends of requests of each route or customer. */
export class RequestStatistics {
  readonly #groups = new Map<string, GroupCounts>();

  /** Adds a request that arrived. */
  addArrival(name: string, request: TrackedRequest): void {
    const group = this.#getGroup(name);
    for (const ends of getParts(group, request)) {
      ends.asked += 1;
      ends.unended += 1;
    }
    if (request.lane === undefined) group.withoutLane += 1;
    if (request.isReturn === undefined) group.withoutReturn += 1;
    if (request.marginMs === undefined) return;
    group.marginMs += request.marginMs;
    group.margins += 1;
  }

  /** Adds the end of a request that was added before. */
  addEnd(name: string, request: TrackedRequest, { kind }: RequestEnd): void {
    for (const ends of getParts(this.#getGroup(name), request)) {
      ends.unended -= 1;
      ends[kind] += 1;
    }
  }

  /** Returns all groups, those with most requests first. */
  getGroups(): RequestGroup[] {
    return [...this.#groups].map(([name, group]): RequestGroup => ({
      name,
      all: { ...group.all },
      deferred: group.withoutLane < group.all.asked
        ? { ...group.deferred }
        : undefined,
      withoutLane: group.withoutLane,
      returns: group.withoutReturn < group.all.asked
        ? { ...group.returns }
        : undefined,
      withoutReturn: group.withoutReturn,
      meanMarginMs: group.margins === 0
        ? undefined
        : group.marginMs / group.margins,
    })).sort((a, b) =>
      b.all.asked - a.all.asked || a.name.localeCompare(b.name)
    );
  }

  #getGroup(name: string): GroupCounts {
    const group = this.#groups.get(name) ?? {
      all: buildEnds(),
      deferred: buildEnds(),
      returns: buildEnds(),
      withoutLane: 0,
      withoutReturn: 0,
      marginMs: 0,
      margins: 0,
    };
    this.#groups.set(name, group);
    return group;
  }
}

/** Counts causes of requests that were not served. */
export class CauseStatistics {
  readonly #counts = new Map<string, { cause: CauseCount; count: number }>();
  /** Refusals on arrival whose cause was not read yet. */
  #pendingRefusals = 0;

  /** Adds the end of a request; ends of served requests are ignored. */
  addEnd(end: RequestEnd): void {
    switch (end.kind) {
      case "inTime":
      case "late":
      case "servedUnknown":
        return;
      case "refusedAtOnce":
      case "refusedLate":
      case "refusedUnknown":
        if (end.cause === undefined) this.#pendingRefusals += 1;
        else this.#count("refused", end.cause);
        return;
      case "failed":
      case "left":
        return this.#count(end.kind, end.cause);
      default:
        end satisfies never;
    }
  }

  /** Adds the cause of a refusal on arrival that was added without one. */
  addRefusalCause(cause: string): void {
    this.#pendingRefusals -= 1;
    this.#count("refused", cause);
  }

  /**
   * Returns all causes, the most frequent first.
   *
   * @param unended Number of requests whose end stands in no line.
   */
  getCauses(unended: number): CauseCount[] {
    const unknown: CauseCount[] = [
      { kind: "refused", cause: UNKNOWN, count: this.#pendingRefusals },
      { kind: "unknown", cause: "no line of the end", count: unended },
    ];
    return [
      ...[...this.#counts.values()]
        .map(({ cause, count }) => ({ ...cause, count })),
      ...unknown.filter(({ count }) => count > 0),
    ].sort((a, b) => b.count - a.count || a.cause.localeCompare(b.cause));
  }

  #count(kind: CauseCount["kind"], cause: string): void {
    const isFull = this.#counts.size >= MAX_CAUSES &&
      !this.#counts.has(`${kind}\0${cause}`);
    const name = isFull ? OTHER_CAUSES : cause;
    const key = `${kind}\0${name}`;
    const entry = this.#counts.get(key) ??
      { cause: { kind, cause: name, count: 0 }, count: 0 };
    entry.count += 1;
    this.#counts.set(key, entry);
  }
}

/** Returns the counts of a group that a request belongs to. */
function getParts(
  { all, deferred, returns }: GroupCounts,
  { lane, isReturn }: TrackedRequest,
): MutableEnds[] {
  return [
    all,
    ...(lane === LANE_DEFERRED ? [deferred] : []),
    ...(isReturn === true ? [returns] : []),
  ];
}

function buildEnds(): MutableEnds {
  return {
    asked: 0,
    inTime: 0,
    late: 0,
    servedUnknown: 0,
    refusedAtOnce: 0,
    refusedLate: 0,
    refusedUnknown: 0,
    failed: 0,
    left: 0,
    unended: 0,
  };
}
