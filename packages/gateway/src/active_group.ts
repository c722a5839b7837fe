/**
 * State of a group of pieces at its leader, from arrival to outcome.
 *
 * @module
 */
import * as serving from "@sardinestep/serving";
import type { EndpointId } from "@sardinestep/types";

/** A group with its results, its failures and its completion callback. */
export interface ActiveGroup extends serving.QueuedGroup {
  readonly results: (serving.PieceResult | undefined)[];
  readonly failures: number[];
  isFinished: boolean;
  /** The inputs were released, so a failed piece can't be run again. */
  isInputGone: boolean;
  readonly finish: (outcome: serving.PieceOutcome) => void;
}

/** A piece that is part of a call. */
export interface CalledPiece {
  readonly queued: ActiveGroup;
  readonly piece: number;
}

/** Creates the state of a group whose pieces are all waiting. */
export function createActiveGroup(
  group: serving.PieceGroup,
  finish: (outcome: serving.PieceOutcome) => void,
): ActiveGroup {
  return {
    group,
    queuedAt: performance.now(),
    waiting: Array.from({ length: group.pieces }, (_, piece) => piece),
    reserved: new Map(),
    results: Array.from({ length: group.pieces }),
    failures: Array.from({ length: group.pieces }, () => 0),
    isFinished: false,
    isInputGone: false,
    finish,
  };
}

/** Whether pieces of the group wait for a call, with or without a reservation. */
export function hasWaitingPieces({ waiting, reserved }: ActiveGroup): boolean {
  return waiting.length > 0 ||
    [...reserved.values()].some((pieces) => pieces.length > 0);
}

/**
 * Partitions waiting groups into sets that may share a call, in order of rank.
 *
 * A request that is suspected of crashing endpoints gets a call of its own: if it
 * crashes the endpoint again, no other group is lost and the cause is certain.
 */
export function planIsolation(
  ranked: readonly ActiveGroup[],
  isSuspect: (queued: ActiveGroup) => boolean,
): readonly (readonly ActiveGroup[])[] {
  const waiting = ranked.filter((group) =>
    !group.isFinished && hasWaitingPieces(group)
  );
  const suspects = waiting.filter(isSuspect);
  if (suspects.length === 0) return [waiting];
  const others = waiting.filter((group) => !suspects.includes(group));
  const alone = suspects.map((suspect) => [suspect]);
  return suspects[0] === waiting[0] ? [...alone, others] : [others, ...alone];
}

/** Removes pieces that a call carries; counts those with a reservation. */
export function removeWaitingPieces(
  queued: ActiveGroup,
  endpointId: EndpointId,
  pieces: readonly number[],
): { readonly reservedCount: number } {
  const taken = new Set(pieces);
  const reservedPieces = queued.reserved.get(endpointId) ?? [];
  const remaining = reservedPieces.filter((piece) => !taken.has(piece));
  if (remaining.length > 0) queued.reserved.set(endpointId, remaining);
  else queued.reserved.delete(endpointId);
  replaceContents(
    queued.waiting,
    queued.waiting.filter((piece) => !taken.has(piece)),
  );
  return { reservedCount: reservedPieces.length - remaining.length };
}

/** Moves waiting pieces to the reservations at an endpoint. */
export function addReservedPieces(
  queued: ActiveGroup,
  endpointId: EndpointId,
  pieces: readonly number[],
): void {
  const taken = new Set(pieces);
  replaceContents(
    queued.waiting,
    queued.waiting.filter((piece) => !taken.has(piece)),
  );
  const existing = queued.reserved.get(endpointId) ?? [];
  queued.reserved.set(endpointId, [...existing, ...pieces]);
}

function replaceContents(target: number[], values: readonly number[]): void {
  target.splice(0, target.length, ...values);
}
