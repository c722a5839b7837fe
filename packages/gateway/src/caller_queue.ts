/**
 * Bytes of a response that its caller has not read yet.
 *
 * @module
 */
import * as bufferBudget from "@sardinestep/buffer_budget";
import type { ServerResponse } from "node:http";
import { closeIncomplete } from "./cut_response.ts";

/**
 * Bytes that are handed to the socket at a time. Each such write shows that the
 * caller reads, so smaller ones notice a slow reader sooner.
 */
const MAX_WRITE_BYTES = 65_536;

/** Queues a response within the budget of the process. */
export class CallerQueue {
  readonly #response: ServerResponse;
  readonly #account: bufferBudget.BufferAccount;
  readonly #queue = new bufferBudget.ByteQueue();
  /** Bytes that the socket has not passed to the kernel yet. */
  #writtenBytes = 0;
  #isEnding = false;
  #isAborting = false;
  #handleRoom: (() => void) | undefined;
  #checkTimer: NodeJS.Timeout | undefined;
  #unreadTimer: NodeJS.Timeout | undefined;

  /** @param response The response. @param account Counts what is queued. */
  constructor(
    response: ServerResponse,
    account: bufferBudget.BufferAccount,
  ) {
    this.#response = response;
    this.#account = account;
    response.once("close", () => this.#release());
  }

  /** Queues bytes; false if no more should be read from the endpoint now. */
  write(bytes: Uint8Array): boolean {
    if (this.#response.destroyed || bytes.length === 0) return true;
    this.#account.add(bufferBudget.BUFFER_KIND.unread, bytes.length);
    if (this.#mayWriteAtOnce(bytes)) this.#writeBytes(bytes);
    else {
      this.#queue.add(bytes);
      this.#writeQueued();
    }
    return this.#account.updateRelay().kind === "read";
  }

  /** Ends the response when everything is written, or if it stays unread. */
  close(): void {
    this.#isEnding = true;
    this.#writeQueued();
    this.#checkUnread();
  }

  /**
   * Closes the connection when everything queued is written, so that a caller that
   * reads slowly gets all events that arrived before its stream broke off.
   */
  abortWhenWritten(): void {
    this.#isAborting = true;
    this.close();
  }

  /** Calls a function once when reading from the endpoint may go on. */
  waitForRoom(handle: () => void): void {
    this.#handleRoom = handle;
    this.#checkRoom();
  }

  #mayWriteAtOnce(bytes: Uint8Array): boolean {
    return this.#queue.length === 0 && bytes.length <= MAX_WRITE_BYTES &&
      this.#writtenBytes < MAX_WRITE_BYTES;
  }

  #writeQueued(): void {
    while (this.#queue.length > 0 && this.#writtenBytes < MAX_WRITE_BYTES) {
      this.#writeBytes(this.#queue.removeFirst(MAX_WRITE_BYTES));
    }
    if (!this.#isEnding || this.#queue.length > 0) return;
    if (this.#isAborting && this.#writtenBytes > 0) return;
    this.#isEnding = false;
    if (this.#isAborting) closeIncomplete(this.#response);
    else this.#response.end();
  }

  #writeBytes(bytes: Uint8Array): void {
    this.#writtenBytes += bytes.length;
    this.#response.write(bytes, () => this.#handleWritten(bytes.length));
  }

  #handleWritten(bytes: number): void {
    if (this.#response.destroyed) return;
    this.#writtenBytes -= bytes;
    this.#account.recordRead(bytes);
    if (this.#queue.length > 0 || this.#isAborting) this.#writeQueued();
    if (this.#handleRoom !== undefined) this.#checkRoom();
  }

  #checkRoom(): void {
    clearTimeout(this.#checkTimer);
    if (this.#response.destroyed) return this.#handleRoomFound();
    const step = this.#account.updateRelay();
    switch (step.kind) {
      case "read":
        return this.#handleRoomFound();
      case "pause":
        this.#checkTimer = setTimeout(
          () => this.#checkRoom(),
          step.checkAfterMs,
        );
    }
  }

  /**
   * Ends a complete answer that stays unread. No deadline ends it any more: the
   * request is done for the gateway, and its endpoint serves others.
   */
  #checkUnread(): void {
    if (this.#response.destroyed || this.#account.unreadBytes === 0) return;
    const { leftMs } = this.#account;
    if (leftMs === 0) return this.#account.cancelResponse();
    this.#unreadTimer = setTimeout(() => this.#checkUnread(), leftMs);
  }

  #handleRoomFound(): void {
    const handle = this.#handleRoom;
    this.#handleRoom = undefined;
    handle?.();
  }

  #release(): void {
    clearTimeout(this.#checkTimer);
    clearTimeout(this.#unreadTimer);
    this.#queue.drop();
    this.#handleRoom = undefined;
  }
}
