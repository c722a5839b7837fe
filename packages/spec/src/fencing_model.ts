/**
 * Specification of orders to model engines: two control processes claim the
 * right to order one after the other, and the older one may be paused.
 *
 * An order states the wanted end and carries the offset of its claim. Engines
 * that check it refuse an older one. For engines that ignore it the promise is
 * weaker: an old order may come through for a while, and the newest claimant
 * reads back and orders again until the engine is as it wants.
 *
 * @module
 */
import type { Model } from "./explore.ts";

/** Guards of orders that a mutant can drop; for the specification only. */
export const FENCING_MECHANISM = {
  fencingNumber: "fencing-number",
  ordersReadBack: "orders-read-back",
} as const;
export type FencingMechanism =
  (typeof FENCING_MECHANISM)[keyof typeof FENCING_MECHANISM];

/** A control process that gives orders. */
interface SpecOrderer {
  /** Offset of its claim; 0 without one or when it knows of a newer one. */
  readonly fence: number;
  /** Whether it has seen the engine as it wants it. */
  readonly isDone: boolean;
}

/** A state of the specification. */
export interface FencingState {
  /** Offset of the newest claim. */
  readonly newest: number;
  readonly orderers: readonly SpecOrderer[];
  /** Fencing numbers of orders on their way, oldest first. */
  readonly inFlight: readonly number[];
  readonly sendsLeft: number;
  /** Whose wanted end the engine has, by fencing number. */
  readonly engine: number;
  /** Whether a newer order was undone by an older one. */
  readonly isUndone: boolean;
}

/** What happens next. */
export type FencingMove =
  | { readonly kind: "claim" | "send" | "read_back"; readonly orderer: number }
  /** It reads the log and finds a newer claim than its own. */
  | { readonly kind: "step_down"; readonly orderer: number }
  | { readonly kind: "deliver" | "lose"; readonly order: number };

/** Kind of engine, and which guard to drop. */
export interface FencingModelOptions {
  /** Whether the engine refuses an order with an old number. */
  readonly checksFencing: boolean;
  readonly without?: FencingMechanism;
}

const ORDERERS = [0, 1] as const;
const MAX_CLAIMS = 3;
const MAX_SENDS = 5;
const MAX_IN_FLIGHT = 3;

/**
 * Builds the specification.
 *
 * @param options Kind of engine, and the guard to drop in a mutant.
 * @returns A model for {@link exploreModel}.
 * @example
 * ```ts
 * exploreModel(buildFencingModel({ checksFencing: true }));
 * ```
 */
export function buildFencingModel(
  options: FencingModelOptions,
): Model<FencingState, FencingMove> {
  return {
    initial: {
      newest: 0,
      orderers: ORDERERS.map(() => ({ fence: 0, isDone: false })),
      inFlight: [],
      sendsLeft: MAX_SENDS,
      engine: 0,
      isUndone: false,
    },
    findMoves: (state) => findFencingMoves(state, options),
    apply: (state, move) => applyFencingMove(state, move, options),
    findViolations: (state) => findFencingViolations(state, options),
    formatState: (state) => JSON.stringify(state),
  };
}

function findFencingMoves(
  state: FencingState,
  options: FencingModelOptions,
): FencingMove[] {
  const moves = ORDERERS.flatMap((orderer): FencingMove[] => {
    const { fence, isDone } = state.orderers[orderer];
    const own: FencingMove[] = [];
    if (state.newest < MAX_CLAIMS) own.push({ kind: "claim", orderer });
    if (fence === 0) return own;
    if (fence < state.newest) own.push({ kind: "step_down", orderer });
    const maySend = state.sendsLeft > 0 &&
      state.inFlight.length < MAX_IN_FLIGHT;
    if (!isDone && maySend) own.push({ kind: "send", orderer });
    if (mayReadBack(options)) own.push({ kind: "read_back", orderer });
    return own;
  });
  state.inFlight.forEach((_, order) => {
    moves.push({ kind: "deliver", order }, { kind: "lose", order });
  });
  return moves;
}

function mayReadBack({ without }: FencingModelOptions): boolean {
  return without !== FENCING_MECHANISM.ordersReadBack;
}

function applyFencingMove(
  state: FencingState,
  move: FencingMove,
  options: FencingModelOptions,
): FencingState {
  switch (move.kind) {
    case "claim": {
      const newest = state.newest + 1;
      const claimed = { fence: newest, isDone: false };
      return { ...updateOrderer(state, move.orderer, claimed), newest };
    }
    case "step_down":
      return updateOrderer(state, move.orderer, { fence: 0, isDone: false });
    case "send": {
      const { fence } = state.orderers[move.orderer];
      const isDone = !mayReadBack(options);
      return {
        ...updateOrderer(state, move.orderer, { fence, isDone }),
        inFlight: [...state.inFlight, fence],
        sendsLeft: state.sendsLeft - 1,
      };
    }
    case "read_back": {
      const { fence } = state.orderers[move.orderer];
      const isDone = state.engine === fence;
      return updateOrderer(state, move.orderer, { fence, isDone });
    }
    case "lose":
      return dropOrder(state, move.order);
    case "deliver":
      return applyOrder(dropOrder(state, move.order), {
        fence: state.inFlight[move.order],
        options,
      });
  }
}

function applyOrder(
  state: FencingState,
  { fence, options }: { fence: number; options: FencingModelOptions },
): FencingState {
  const isOld = fence < state.engine;
  const isChecked = options.checksFencing &&
    options.without !== FENCING_MECHANISM.fencingNumber;
  if (isOld && isChecked) return state;
  return { ...state, engine: fence, isUndone: state.isUndone || isOld };
}

function findFencingViolations(
  state: FencingState,
  options: FencingModelOptions,
): string[] {
  if (options.checksFencing && state.isUndone) {
    return ["an old order has undone a newer one"];
  }
  return isStuck(state, options)
    ? ["an engine stays as an old claimant wanted it"]
    : [];
}

/** Nothing is on its way, the newest one rests, and the engine is wrong. */
function isStuck(
  { engine, inFlight, newest, orderers }: FencingState,
  options: FencingModelOptions,
): boolean {
  const holder = orderers.find(({ fence }) => fence === newest);
  const isQuiet = inFlight.length === 0 &&
    orderers.every(({ fence }) => fence === 0 || fence === newest);
  if (!holder?.isDone || newest === 0 || !isQuiet) return false;
  return engine !== newest && !mayReadBack(options);
}

function dropOrder(state: FencingState, order: number): FencingState {
  return { ...state, inFlight: state.inFlight.toSpliced(order, 1) };
}

function updateOrderer(
  state: FencingState,
  orderer: number,
  changed: SpecOrderer,
): FencingState {
  return { ...state, orderers: state.orderers.with(orderer, changed) };
}
