/**
 * Executes one attempt at a non-repeatable call on this entry.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import type * as decisions from "@sardinestep/decisions";

/** Facts of the attempt and callbacks of a {@link Claimant}. */
export interface ClaimantOptions {
  readonly facts: claims.AttemptFacts;
  /** Queues a release or an outcome for the log. */
  readonly recordLater: (record: claims.ClaimRecord) => void;
  /** Called on every state change; `answer` is set once the endpoint answered. */
  readonly onStateChange: (
    state: claims.AttemptState,
    answer?: unknown,
  ) => void;
}

/** Result of a sent call. */
export type CallEnd =
  | { readonly kind: "completed"; readonly answer: unknown }
  | { readonly kind: "unknown" };

/**
 * Holds the state of one attempt. All rules are in `claims.applyAttemptEvent`,
 * which the model checker of the spec package explores; this class only executes
 * the resulting actions.
 */
export class Claimant {
  readonly #options: ClaimantOptions;
  readonly #callEnd: Promise<CallEnd>;
  #resolveCallEnd: (end: CallEnd) => void = () => {};
  #state: claims.AttemptState;
  #currentDispatch = 0;

  /** The claim to append to the log before the call may be sent. */
  readonly claimRecord: claims.ClaimRecord;

  constructor(options: ClaimantOptions) {
    this.#options = options;
    const { id, keyId, fingerprint } = options.facts;
    this.claimRecord = { kind: "claim", id, keyId, fingerprint };
    this.#state = claims.openAttempt(options.facts).state;
    this.#callEnd = new Promise((resolve) => this.#resolveCallEnd = resolve);
  }

  /** Current state of the attempt. */
  get state(): claims.AttemptState {
    return this.#state;
  }

  /** Whether the call may have reached an endpoint. */
  get mayHaveRun(): boolean {
    return this.#state.kind === "dispatched" || this.#state.kind === "done";
  }

  /** Whether the result of a sent call is still to come, also after {@link giveUp}. */
  get isCallRunning(): boolean {
    return this.#state.kind === "dispatched";
  }

  /** Resolves with the result of the sent call, also after {@link giveUp}. */
  waitForCallEnd(): Promise<CallEnd> {
    return this.#callEnd;
  }

  /** Applies the verdict of the log on the claim. */
  applyVerdict(verdict: claims.AttemptVerdict): void {
    this.#apply({ kind: "verdict", verdict });
  }

  /**
   * Starts a dispatch, immediately before the call is sent. A second one is refused
   * unless the first is known not to have been executed.
   *
   * @param now Monotonic milliseconds.
   * @returns Whether the call may be sent now.
   */
  beginDispatch(now: number): boolean {
    const actions = this.#apply({ kind: "dispatch", now });
    const send = actions.find((action) => action.kind === "send");
    if (send) this.#currentDispatch = send.dispatch;
    return send !== undefined;
  }

  /** Records a complete answer of the endpoint. */
  finish(answer: unknown): void {
    const dispatch = this.#currentDispatch;
    this.#apply({ kind: "answered", dispatch, answer }, answer);
  }

  /** Records a dispatch that failed without an answer. */
  fail(reason: decisions.CallFailureKind): void {
    // Like a failed connect, a refusal proves that nothing was executed, so another
    // endpoint may be tried.
    const isKnownNotExecuted = reason === "not_sent" || reason === "refused";
    const kind = isKnownNotExecuted ? "not_sent" : "broken";
    this.#apply({ kind, dispatch: this.#currentDispatch });
  }

  /**
   * Called once the caller has its final answer. Abandons an attempt that was not
   * sent; records the outcome of a sent call without an answer as unknown.
   */
  giveUp(reason: "deadline" | "cancelled"): void {
    this.#apply({ kind: "give_up", reason });
  }

  #apply(
    event: claims.AttemptEvent,
    answer?: unknown,
  ): readonly claims.AttemptAction[] {
    const before = this.#state;
    const next = claims.applyAttemptEvent(before, event);
    this.#state = next.state;
    for (const action of next.actions) {
      if (action.kind === "record_later") {
        this.#options.recordLater(action.record);
      }
    }
    if (next.state !== before) this.#options.onStateChange(next.state, answer);
    if (next.state.kind === "done") {
      const { outcome } = next.state;
      this.#resolveCallEnd(
        outcome === "completed" ? { kind: outcome, answer } : { kind: outcome },
      );
    }
    return next.actions;
  }
}
