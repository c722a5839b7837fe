/**
 * Turns of connections that deliver bytes in many small parts.
 *
 * @module
 */

/** Parts that a connection may deliver before others get their turn. */
const MAX_PARTS = 1_000;
/** Connections without a whole request that are read in one turn of the event loop. */
const MAX_UNPROVEN = 32;

/** A connection whose reads can be interrupted. */
export interface TurnTaker {
  pause(): void;
  resume(): void;
}

/**
 * Interrupts connections that deliver many parts, and lets one of them go on at a
 * time, after all other events have been handled.
 *
 * A part costs the same however few bytes it has: a body in chunks of one byte takes
 * the thread for seconds.
 *
 * @example
 * ```ts
 * const turns = new ReadTurns();
 * const turn = turns.openTurn(connection);
 * turn.countPart(); // the connection pauses after 1,000 of them
 * turn.close();
 * ```
 */
export class ReadTurns {
  readonly #waiting: ReadTurn[] = [];
  readonly #unproven: TurnTaker[] = [];

  /** Opens the turns of a connection; its owner closes them. */
  openTurn(taker: TurnTaker): ReadTurn {
    return new ReadTurn(taker, (turn) => this.#add(turn));
  }

  /**
   * Interrupts a connection without a whole request until its turn. What the parser
   * holds for it is freed only between two turns of the event loop.
   */
  addUnproven(taker: TurnTaker): void {
    taker.pause();
    this.#unproven.push(taker);
    if (this.#unproven.length === 1) setImmediate(() => this.#resumeUnproven());
  }

  #resumeUnproven(): void {
    for (const taker of this.#unproven.splice(0, MAX_UNPROVEN)) taker.resume();
    if (this.#unproven.length > 0) setImmediate(() => this.#resumeUnproven());
  }

  #add(turn: ReadTurn): void {
    this.#waiting.push(turn);
    if (this.#waiting.length === 1) setImmediate(() => this.#resumeNext());
  }

  #resumeNext(): void {
    this.#waiting.shift()?.resume();
    if (this.#waiting.length > 0) setImmediate(() => this.#resumeNext());
  }
}

/** The turns of one connection. */
export class ReadTurn {
  readonly #taker: TurnTaker;
  readonly #handlePaused: (turn: ReadTurn) => void;
  #parts = 0;
  #isPaused = false;
  #isClosed = false;

  /** @param taker The connection. @param handlePaused Called when it is interrupted. */
  constructor(taker: TurnTaker, handlePaused: (turn: ReadTurn) => void) {
    this.#taker = taker;
    this.#handlePaused = handlePaused;
  }

  /** Whether the connection waits for its next turn. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** Counts a part, and interrupts the connection after many. */
  countPart(): void {
    this.#parts += 1;
    if (this.#parts >= MAX_PARTS) this.pause();
  }

  /** Interrupts the connection until its next turn. */
  pause(): void {
    if (this.#isPaused || this.#isClosed) return;
    this.#isPaused = true;
    this.#taker.pause();
    this.#handlePaused(this);
  }

  /** Lets the connection go on. */
  resume(): void {
    if (!this.#isPaused) return;
    this.#parts = 0;
    this.#isPaused = false;
    this.#taker.resume();
  }

  /** Ends the turns; an interrupted connection goes on. */
  close(): void {
    this.#isClosed = true;
    this.resume();
  }
}
