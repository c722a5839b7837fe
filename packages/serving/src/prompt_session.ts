/**
 * The part of a prompt that determines the endpoint of a request.
 *
 * @module
 */

/** One part of a prompt. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Returns the part that identifies a request's session: the last one that several
 * requests share. The very last part is unique to the request.
 * @param parts The prompt's parts in order.
 */
export function getSession(
  parts: readonly PromptPart[],
): PromptPart | undefined {
  return parts.at(-2) ?? parts.at(-1);
}
