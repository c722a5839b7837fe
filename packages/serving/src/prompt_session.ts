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
 * Gives the part by which requests of one session find each other: the last one
 * that several requests share. The very last part is the request's own.
 *
 * @param parts The prompt's parts in order.
 */
export function getSession(
  parts: readonly PromptPart[],
): PromptPart | undefined {
  return parts.at(-2) ?? parts.at(-1);
}
