/**
 * Positions in the records of the registry.
 *
 * The registry may be restored from a copy: offsets then go back and are given out
 * again. A position therefore orders by the epoch first, which grows with each
 * restore, and by the offset within it.
 *
 * @module
 */

/** A position; larger is newer. Numbers of different topics don't compare. */
export type RegistryPosition = number;

/** Position of a reader that has read nothing. */
export const NO_POSITION: RegistryPosition = -1;
/** Offsets of one epoch; with {@link MAX_EPOCH} all positions are safe integers. */
const OFFSETS_PER_EPOCH = 2 ** 36;
/** Highest epoch that a position can hold. */
export const MAX_EPOCH = 2 ** 17 - 1;

/** The parts of a position. */
export interface PositionParts {
  readonly epoch: number;
  readonly offset: number;
}

/**
 * Builds a position.
 *
 * @example
 * ```ts
 * buildPosition({ epoch: 2, offset: 0 }) > buildPosition({ epoch: 1, offset: 99 }); // true
 * ```
 */
export function buildPosition(
  { epoch, offset }: PositionParts,
): RegistryPosition {
  return epoch * OFFSETS_PER_EPOCH + offset;
}

/** Returns the epoch of a position; -1 if nothing was read. */
export function getEpoch(position: RegistryPosition): number {
  return Math.floor(position / OFFSETS_PER_EPOCH);
}

/** Returns the offset within the epoch of a position; -1 if nothing was read. */
export function getOffset(position: RegistryPosition): number {
  return position < 0 ? NO_POSITION : position % OFFSETS_PER_EPOCH;
}
