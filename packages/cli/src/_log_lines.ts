/** Gateway log lines for the tests of this package. */

/** Builds a line in the format of a gateway's log. */
export function buildLine(
  vm: string,
  atMs: number,
  event: string,
  fields: Record<string, unknown>,
) {
  return JSON.stringify({
    time: new Date(1_780_000_000_000 + atMs).toISOString(),
    process: "gateway",
    vm,
    sequence: atMs,
    event,
    ...fields,
  });
}
