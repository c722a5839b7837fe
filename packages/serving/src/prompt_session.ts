/**
 * The part of a prompt that decides where a request goes.
 *
 * @module
 */

/** One part of a prompt. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Gives the subject by which requests of one session find each other: the last
 * part that several requests share.
 *
 * @param parts The prompt's parts in order.
 */
export function getSession(parts: readonly PromptPart[]): string | undefined {
  return parts.at(-1)?.id;
}
