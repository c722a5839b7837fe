/**
 * Counts the bytes that a process holds, by kind and by response.
 *
 * @module
 */
import { type AnswerDecision, decideAnswer } from "./decide_answer.ts";
import { decideRelay, type RelayDecision } from "./decide_relay.ts";
import { EndpointBytes } from "./endpoint_bytes.ts";
import { planBodyEvictions } from "./plan_body_evictions.ts";
import { planEvictions } from "./plan_evictions.ts";

/** What bytes are held for. */
export const BUFFER_KIND = {
  /** The head of a caller's request. */
  head: "head",
  /** The body of a caller's request. */
  body: "body",
  /** An answer that is read to its end before it is passed on. */
  answer: "answer",
  /** Bytes of a response that the caller has not read. */
  unread: "unread",
} as const;
/** A value of {@link BUFFER_KIND}. */
export type BufferKind = typeof BUFFER_KIND[keyof typeof BUFFER_KIND];

/**
 * Largest part of the budget that bodies for one endpoint may take: an endpoint that
 * stops reading must leave most of it to requests for others.
 */
const ENDPOINT_SHARE = 0.25;
/** Most bytes of the head and body of a small request. */
const SMALL_REQUEST_BYTES = 16_384;
/** Part of the budget that larger requests may fill. */
const LARGE_REQUEST_SHARE = 7 / 8;
/** Bytes of a body that count as a step of progress. */
const BODY_PROGRESS_BYTES = 4_096;
/** Interval of checks for room that no response could be ended for, in ms. */
const NO_ROOM_CHECK_MS = 250;

/**
 * Time without a read after which a complete answer is given up, in milliseconds:
 * twice the longest timeout of a route that is in use, so the caller has left even
 * if its host sent no end of the connection.
 */
const MAX_UNREAD_MS = 30_000;

/**
 * Gap between two ticks from which the process counts as paused, in milliseconds;
 * the gateway ticks every 100 ms.
 */
const MAX_TICK_GAP_MS = 500;

/** Options of {@link BufferBudget}. */
export interface BufferBudgetOptions {
  readonly limitBytes: number;
  /** Time without a read after which a complete answer is given up, in ms. */
  readonly maxUnreadMs?: number;
  /** Milliseconds on a monotonic clock; for tests. */
  readonly getNow?: () => number;
}

/** What ended a response to free memory. */
export interface EvictionCause {
  readonly unreadBytes: number;
  readonly unreadMs: number;
}

/** What has arrived of a body. */
export interface BodyProgress {
  /** Memory that the body takes, which may exceed its length. */
  readonly heldBytes: number;
  readonly receivedBytes: number;
}

/** Whether a response is read on, after room was made if that was needed. */
export type RelayStep = Exclude<RelayDecision, { kind: "makeRoom" }>;

/** The memory budget of one process. */
export class BufferBudget {
  readonly limitBytes: number;
  readonly maxUnreadMs: number;
  readonly endpoints: EndpointBytes;
  readonly #getNow: () => number;
  readonly #accounts = new Map<number, BufferAccount>();
  readonly #heldBytes = { head: 0, body: 0, answer: 0, unread: 0 };
  #nextId = 1;
  #evictedTotal = 0;
  #pausedTotal = 0;
  #cancelledBodiesTotal = 0;
  #tickAt: number | undefined;
  #processPausedMs = 0;

  /** @param options Limits in bytes and ms, and the clock. */
  constructor({ limitBytes, maxUnreadMs, getNow }: BufferBudgetOptions) {
    this.limitBytes = limitBytes;
    this.maxUnreadMs = maxUnreadMs ?? MAX_UNREAD_MS;
    this.endpoints = new EndpointBytes(limitBytes * ENDPOINT_SHARE);
    this.#getNow = getNow ?? (() => performance.now());
  }

  /**
   * Monotonic time without pauses of this process, in milliseconds.
   *
   * Callers may have read during a pause, but this process only learns of it after
   * its timers have fired.
   */
  get now(): number {
    return this.#getNow() - this.#processPausedMs - this.#getTickExcessMs();
  }

  /** Records that the process runs; called at regular intervals. */
  recordTick(): void {
    this.#processPausedMs += this.#getTickExcessMs();
    this.#tickAt = this.#getNow();
  }

  #getTickExcessMs(): number {
    if (this.#tickAt === undefined) return 0;
    return Math.max(0, this.#getNow() - this.#tickAt - MAX_TICK_GAP_MS);
  }

  /** Responses that were ended because their callers don't read. */
  get evictedTotal(): number {
    return this.#evictedTotal;
  }

  /** Pauses of responses because their share was used up. */
  get pausedTotal(): number {
    return this.#pausedTotal;
  }

  /** Bodies that gave way to others before their end. */
  get cancelledBodiesTotal(): number {
    return this.#cancelledBodiesTotal;
  }

  /** Bodies that are being read. */
  get incompleteBodies(): number {
    return this.#findIncompleteBodies().length;
  }

  /** Bytes held of all kinds. */
  get heldBytes(): number {
    const { head, body, answer, unread } = this.#heldBytes;
    return head + body + answer + unread;
  }

  /** Bytes held of one kind. */
  getHeldBytes(kind: BufferKind): number {
    return this.#heldBytes[kind];
  }

  /** Opens the account of a response; its owner closes it. */
  openAccount(handleEvicted: (cause: EvictionCause) => void): BufferAccount {
    const id = this.#nextId++;
    const account = new BufferAccount(this, {
      id,
      handleHeld: (kind, bytes) => {
        this.#heldBytes[kind] += bytes;
      },
      handlePaused: () => {
        this.#pausedTotal += 1;
      },
      handleEvicted: (cause) => {
        this.#evictedTotal += 1;
        handleEvicted(cause);
      },
      handleClosed: () => this.#accounts.delete(id),
    });
    this.#accounts.set(id, account);
    return account;
  }

  /**
   * Whether what is held is within the limit, if need be after responses to callers
   * that don't read were ended, or incomplete bodies that stall. Part of the limit is
   * left to small requests.
   *
   * @param needing Account of the body that needs room; without it no body gives way.
   */
  hasRoom(needing?: BufferAccount): boolean {
    const isSmall = needing === undefined ||
      needing.requestBytes <= SMALL_REQUEST_BYTES;
    const limitBytes = this.limitBytes * (isSmall ? 1 : LARGE_REQUEST_SHARE);
    const excessBytes = Math.ceil(this.heldBytes - limitBytes);
    if (excessBytes <= 0 || this.releaseUnread(excessBytes)) return true;
    return needing !== undefined && this.#cancelBodies(needing, excessBytes);
  }

  #cancelBodies(needing: BufferAccount, neededBytes: number): boolean {
    const bodies = this.#findIncompleteBodies()
      .map(({ id, bodyBytes, stalledMs }) => ({
        id,
        heldBytes: bodyBytes,
        stalledMs,
      }));
    const ids = planBodyEvictions(bodies, { id: needing.id, neededBytes });
    this.#cancelledBodiesTotal += ids.length;
    for (const id of ids) this.#accounts.get(id)?.cancelBody();
    return ids.length > 0;
  }

  #findIncompleteBodies(): BufferAccount[] {
    return [...this.#accounts.values()]
      .filter((account) => account.isReadingBody);
  }

  /** Ends responses to callers that don't read; false if that can't free enough. */
  releaseUnread(neededBytes: number): boolean {
    const ids = planEvictions(this.#accounts.values(), neededBytes);
    for (const id of ids) this.#accounts.get(id)?.cancelResponse();
    return ids.length > 0;
  }
}

interface AccountHandlers {
  readonly id: number;
  readonly handleEvicted: (cause: EvictionCause) => void;
  readonly handleHeld: (kind: BufferKind, bytes: number) => void;
  readonly handlePaused: () => void;
  readonly handleClosed: () => void;
}

/** What the budget holds for one request and its response. */
export class BufferAccount {
  readonly #budget: BufferBudget;
  readonly #handlers: AccountHandlers;
  readonly #heldBytes = { head: 0, body: 0, answer: 0, unread: 0 };
  #readAt = 0;
  #allowanceBytes = 0;
  #pausedAt: number | undefined;
  #isClosed = false;
  /** Ends the body that is being read; undefined if none is. */
  #cancelBody: (() => void) | undefined;
  /** Bytes of the body at its last step of progress, and when that was. */
  #progressBytes = 0;
  #progressAt = 0;

  /** @param budget The budget. @param handlers Callbacks of the budget. */
  constructor(budget: BufferBudget, handlers: AccountHandlers) {
    this.#budget = budget;
    this.#handlers = handlers;
  }

  /** Identifies the account within its budget. */
  get id(): number {
    return this.#handlers.id;
  }

  /** Bodies by endpoint. */
  get endpoints(): EndpointBytes {
    return this.#budget.endpoints;
  }

  /** Bytes that the caller has not read. */
  get unreadBytes(): number {
    return this.#heldBytes.unread;
  }

  /** Time since the caller last read, in ms; 0 if nothing is unread. */
  get unreadMs(): number {
    return this.unreadBytes === 0 ? 0 : this.#budget.now - this.#readAt;
  }

  /** Whether a body is being read. */
  get isReadingBody(): boolean {
    return this.#cancelBody !== undefined;
  }

  /** Memory that the body takes, in bytes. */
  get bodyBytes(): number {
    return this.#heldBytes.body;
  }

  /** Memory that the head and the body take, in bytes. */
  get requestBytes(): number {
    return this.#heldBytes.head + this.#heldBytes.body;
  }

  /** Time since the last progress of the body that is being read, in ms. */
  get stalledMs(): number {
    return this.isReadingBody ? this.#budget.now - this.#progressAt : 0;
  }

  /** Begins a body. @param cancel Ends it to free its memory. */
  startBody(cancel: () => void): void {
    this.#cancelBody = cancel;
    this.#progressAt = this.#budget.now;
  }

  /** Counts what has arrived of the body that is being read. */
  recordBody({ heldBytes, receivedBytes }: BodyProgress): void {
    this.add(BUFFER_KIND.body, heldBytes - this.#heldBytes.body);
    if (receivedBytes - this.#progressBytes < BODY_PROGRESS_BYTES) return;
    this.#progressBytes = receivedBytes;
    this.#progressAt = this.#budget.now;
  }

  /** Ends the body. @param heldBytes Memory that it takes from now on, in bytes. */
  endBody(heldBytes: number): void {
    this.#cancelBody = undefined;
    this.add(BUFFER_KIND.body, heldBytes - this.#heldBytes.body);
  }

  /** Ends the body that is being read to free its memory. */
  cancelBody(): void {
    this.#cancelBody?.();
  }

  /** Counts bytes as held; has no effect once the account is closed. */
  add(kind: BufferKind, bytes: number): void {
    if (this.#isClosed) return;
    if (kind === BUFFER_KIND.unread && this.unreadBytes === 0) {
      this.#readAt = this.#budget.now;
    }
    this.#heldBytes[kind] += bytes;
    this.#handlers.handleHeld(kind, bytes);
  }

  /** Gives bytes back, at most as many as are held. */
  release(kind: BufferKind, bytes: number): void {
    const released = Math.min(bytes, this.#heldBytes[kind]);
    this.#heldBytes[kind] -= released;
    this.#handlers.handleHeld(kind, -released);
  }

  /** Gives back bytes that the caller has read. */
  recordRead(bytes: number): void {
    this.#readAt = this.#budget.now;
    this.release(BUFFER_KIND.unread, bytes);
  }

  /** Decides whether the response is read on, and makes room for it if needed. */
  updateRelay(): RelayStep {
    const decision = this.#decideRelay();
    if (decision.kind !== "makeRoom") return this.#applyStep(decision);
    if (this.#budget.releaseUnread(decision.neededBytes) && !this.#isClosed) {
      const retried = this.#decideRelay();
      if (retried.kind !== "makeRoom") return this.#applyStep(retried);
    }
    return { kind: "pause", checkAfterMs: NO_ROOM_CHECK_MS };
  }

  /**
   * Whether the answer may be read further, if need be after responses to callers
   * that don't read were ended.
   */
  mayReadAnswer(): boolean {
    if (this.#isClosed) return true;
    const decision = this.#decideAnswer();
    if (decision.kind === "read") return true;
    return this.#budget.releaseUnread(decision.neededBytes) &&
      this.#decideAnswer().kind === "read";
  }

  /** Time until a complete answer is given up if its caller doesn't read, in ms. */
  get leftMs(): number {
    return Math.max(0, this.#budget.maxUnreadMs - this.unreadMs);
  }

  /** Ends the response to free its memory. */
  cancelResponse(): void {
    if (this.#isClosed) return;
    const { unreadBytes, unreadMs } = this;
    this.close();
    this.#handlers.handleEvicted({ unreadBytes, unreadMs });
  }

  /** Gives everything back; later calls have no effect. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    for (const kind of Object.values(BUFFER_KIND)) {
      this.release(kind, this.#heldBytes[kind]);
    }
    this.#handlers.handleClosed();
  }

  #decideAnswer(): AnswerDecision {
    return decideAnswer({
      limitBytes: this.#budget.limitBytes,
      heldBytes: this.#budget.heldBytes,
      answerBytes: this.#heldBytes.answer,
    });
  }

  #decideRelay(): RelayDecision {
    const budget = this.#budget;
    return decideRelay({
      limitBytes: budget.limitBytes,
      heldBytes: budget.heldBytes,
      unreadBytes: budget.getHeldBytes(BUFFER_KIND.unread),
      connectionBytes: this.unreadBytes,
      allowanceBytes: this.#allowanceBytes,
      pausedMs: this.#pausedAt === undefined
        ? undefined
        : budget.now - this.#pausedAt,
    });
  }

  #applyStep(step: RelayStep): RelayStep {
    switch (step.kind) {
      case "read":
        this.#pausedAt = undefined;
        this.#allowanceBytes = step.allowanceBytes;
        return step;
      case "pause":
        if (this.#pausedAt === undefined) {
          this.#pausedAt = this.#budget.now;
          this.#handlers.handlePaused();
        }
        return step;
    }
  }
}
