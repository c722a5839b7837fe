/**
 * Bundles each program into one file under dist/, so that a VM needs Node.js
 * and that file only.
 *
 * A program whose source does not exist is an error: nothing is skipped.
 */
import { build } from "esbuild";
import { chmod } from "node:fs/promises";

const PROGRAMS = {
  "sardinestep-entry": "packages/entry/src/main.ts",
  "sardinestep-control": "packages/control/src/main.ts",
  "sardinestep": "packages/cli/src/main.ts",
  "sardinestep-fakes": "packages/fakes/src/main.ts",
  "bench_decisions": "packages/bench/src/bench_decisions.ts",
};

await build({
  entryPoints: PROGRAMS,
  outdir: "dist",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  sourcemap: "linked",
  // Some libraries are CommonJS and call require() for Node's own modules.
  banner: {
    js:
      '#!/usr/bin/env node\nimport { createRequire as __createRequire } from "node:module";\n' +
      "const require = __createRequire(import.meta.url);",
  },
  logLevel: "warning",
});

for (const program of Object.keys(PROGRAMS)) {
  await chmod(`dist/${program}.mjs`, 0o755);
}
