/**
 * Exhaustive exploration of a specification's reachable states.
 *
 * @module
 */
import { getAdjacencyMap } from "@xstate/graph";
import { type EventObject, fromTransition } from "xstate";

/** A specification: states are plain data and never changed in place. */
export interface Model<State, Move> {
  readonly initial: State;
  /** Every move that may happen next, faults included. */
  readonly findMoves: (state: State) => readonly Move[];
  readonly apply: (state: State, move: Move) => State;
  /** What is wrong in a state; empty where it is safe. */
  readonly findViolations: (state: State) => readonly string[];
  /** Text that is the same for the same state only. */
  readonly formatState: (state: State) => string;
}

/** A violation and a shortest way to it. */
export interface FoundViolation {
  readonly what: string;
  readonly trace: readonly string[];
}

/** What an exploration found. */
export interface Exploration {
  /** States visited; all of them unless a violation ended it. */
  readonly states: number;
  readonly transitions: number;
  /** The first in breadth-first order. */
  readonly violation?: FoundViolation;
}

/** A runaway model stops here; the models have under a third of it. */
const MAX_STATES = 1_000_000;

interface Node<State> {
  readonly state: State;
  readonly key: string;
}

/** A move to a state not met before; its name tells the library's edges apart. */
interface ReachEvent<State> extends EventObject {
  readonly next: Node<State>;
}

/** How a state was first reached. */
interface Step {
  readonly key: string;
  readonly move: string;
}

/** Thrown through the library's traversal in order to end it. */
class ViolationFound extends Error {
  constructor(readonly what: string, readonly key: string) {
    super(what);
  }
}

/**
 * Explores a model breadth first and checks safety in every state.
 *
 * Only moves to states not met before are handed to the library, which would
 * otherwise queue every transition: its queue costs more than the model then.
 *
 * @param model The specification.
 * @returns Counts, and the first violation with its trace.
 * @example
 * ```ts
 * const { states, violation } = exploreModel(buildFencingModel());
 * ```
 */
export function exploreModel<State, Move>(
  model: Model<State, Move>,
): Exploration {
  const initial = buildNode(model, model.initial);
  const cameFrom = new Map<string, Step | undefined>([
    [initial.key, undefined],
  ]);
  const counts = { states: 0, transitions: 0 };
  const findNews = (node: Node<State>): ReachEvent<State>[] => {
    counts.states += 1;
    checkState(model, node);
    const news: ReachEvent<State>[] = [];
    for (const move of model.findMoves(node.state)) {
      counts.transitions += 1;
      const next = buildNode(model, model.apply(node.state, move));
      if (cameFrom.has(next.key)) continue;
      const name = JSON.stringify(move);
      cameFrom.set(next.key, { key: node.key, move: name });
      news.push({ type: name, next });
    }
    return news;
  };
  const logic = fromTransition(
    (_node: Node<State>, { next }: ReachEvent<State>) => next,
    initial,
  );
  try {
    getAdjacencyMap(logic, {
      events: ({ context }) => findNews(context),
      serializeState: ({ context }) => context.key,
      serializeEvent: ({ type }) => type,
      limit: MAX_STATES,
    });
    return counts;
  } catch (error) {
    if (!(error instanceof ViolationFound)) throw error;
    const trace = buildTrace(cameFrom, error.key);
    return { ...counts, violation: { what: error.what, trace } };
  }
}

function buildNode<State, Move>(
  model: Model<State, Move>,
  state: State,
): Node<State> {
  return { state, key: model.formatState(state) };
}

function checkState<State, Move>(
  model: Model<State, Move>,
  { state, key }: Node<State>,
): void {
  const [what] = model.findViolations(state);
  if (what) throw new ViolationFound(what, key);
}

function buildTrace(
  cameFrom: ReadonlyMap<string, Step | undefined>,
  end: string,
): string[] {
  const trace: string[] = [];
  let step = cameFrom.get(end);
  while (step) {
    trace.unshift(step.move);
    step = cameFrom.get(step.key);
  }
  return trace;
}
