/** What was sent, answered and run, in the order in which it was seen. */
import { writeFileSync } from "node:fs";

export class Record {
  #startedAt = performance.now();
  lines = [];

  /** Adds a line; its first fields are the time and what was seen. */
  add = (entry) => {
    const atMs = Math.round(performance.now() - this.#startedAt);
    this.lines.push({ atMs, ...entry });
  };

  /** Writes a line of text for each entry. */
  write(url) {
    writeFileSync(url, `${this.lines.map(formatLine).join("\n")}\n`);
  }
}

function formatLine({ atMs, kind, attemptId = "-", ...rest }) {
  const fields = Object.entries(rest)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) =>
      `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`
    );
  return [atMs, kind, attemptId, ...fields].join(" ");
}
