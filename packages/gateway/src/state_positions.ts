/**
 * Order of the state that a VM learns.
 *
 * Each part of the state arrives by several ways, and an answer may be delayed on any
 * of them. All of them are compared here with what the VM has.
 *
 * @module
 */
import type * as metrics from "@sardinestep/metrics";
import type * as serving from "@sardinestep/serving";
import { NO_POSITION, type RegistryPosition } from "@sardinestep/types";
import { match } from "ts-pattern";

/** Parts of the state; the registry keeps each in a topic of its own. */
export const STATE_PART = {
  operator: "operatorPosition",
  endpoints: "endpointPosition",
  members: "memberPosition",
  quarantine: "quarantinePosition",
} as const satisfies Record<string, keyof serving.ReadPositions>;
/** A value of {@link STATE_PART}. */
export type StatePart = typeof STATE_PART[keyof typeof STATE_PART];

/** State of a part that has arrived, by its way. */
export type StateArrival =
  & {
    readonly part: StatePart;
    /** Position up to which it covers the part. */
    readonly position: RegistryPosition;
  }
  & (
    /** All of it, as the registry listed it. */
    | { readonly kind: "listing" }
    /** The registry's records from a position on. */
    | { readonly kind: "records"; readonly from: RegistryPosition }
    /** State of another VM. */
    | { readonly kind: "relayed" }
  );

/** Holds the position that each part of a VM's state covers. */
export class StatePositions {
  readonly #metrics: metrics.Metrics | undefined;
  #positions: serving.ReadPositions = {
    operatorPosition: NO_POSITION,
    endpointPosition: NO_POSITION,
    memberPosition: NO_POSITION,
    quarantinePosition: NO_POSITION,
  };

  /** @param metrics Counts arrivals by part, way and result. */
  constructor(metrics?: metrics.Metrics) {
    this.#metrics = metrics;
  }

  /** The position of each part; -1 if nothing was read. */
  get all(): serving.ReadPositions {
    return this.#positions;
  }

  /**
   * Whether applying an arrival would undo newer state.
   *
   * @example
   * ```ts
   * // With operator records up to 20:
   * positions.isOutdated({ part: STATE_PART.operator, kind: "listing", position: 10 }); // true
   * ```
   */
  isOutdated(arrival: StateArrival): boolean {
    const held = this.#positions[arrival.part];
    const isOutdated = match(arrival)
      .with({ kind: "listing" }, ({ position }) => position < held)
      // Records that another VM's state covers in part are read again from its end.
      .with({ kind: "records" }, ({ from }) => from < held)
      .with({ kind: "relayed" }, ({ position }) => position <= held)
      .exhaustive();
    this.#metrics?.count("state_arrivals_total", {
      part: arrival.part,
      kind: arrival.kind,
      result: isOutdated ? "outdated" : "applied",
    });
    return isOutdated;
  }

  /** Records that the state covers an arrival. */
  update({ part, position }: StateArrival): void {
    this.#positions = { ...this.#positions, [part]: position };
  }
}
