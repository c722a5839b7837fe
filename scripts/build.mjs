/**
 * Bundles each program into one file under dist/, so that a VM needs Node.js
 * and that file only. `--platform` bundles what runs on the users' platform into
 * target/ instead.
 *
 * `--without MECHANISM` bundles the daemons with one mechanism taken out, into
 * dist/without-MECHANISM/. Such a build is for proofs only: it shows the violation
 * that the mechanism prevents, or what a bench compares with. The mutants stand in
 * the files named below.
 */
import { build } from "esbuild";
import { chmod, readFile } from "node:fs/promises";
import { resolve } from "node:path";
import { parseArgs } from "node:util";

const DAEMONS = {
  "sardinestep-entry": "packages/entry/src/main.ts",
  "sardinestep-control": "packages/control/src/main.ts",
  "sardinestep-fakes": "packages/fakes/src/main.ts",
};
const PROGRAMS = {
  ...DAEMONS,
  "sardinestep": "packages/cli/src/main.ts",
  "bench_decisions": "packages/bench/src/bench_decisions.ts",
  "bench_serving": "packages/bench/src/bench_serving.ts",
  "bench_entry": "packages/bench/src/bench_entry.ts",
  "bench_baseline": "packages/bench/src/bench_baseline.ts",
  "bench_claims": "packages/bench/src/bench_claims.ts",
  "capacity": "packages/bench/src/capacity/main.ts",
  "bench_load": "packages/bench/src/bench_load.ts",
  "demo": "packages/demo/src/main.ts",
  "prove": "packages/prove/src/main.ts",
};
const PLATFORM_PROGRAMS = {
  "sardinestep-gateway": "platform/src/main.ts",
};
const MUTANTS_FILES = [
  "packages/prove/mutants.json",
  "packages/bench/mutants.json",
];

const { values } = parseArgs({
  options: { without: { type: "string" }, platform: { type: "boolean" } },
});
const isMutant = values.without !== undefined;
const { outdir, programs } = pickPlan();

await build({
  entryPoints: programs,
  outdir,
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  sourcemap: values.platform ? false : "linked",
  // Some libraries are CommonJS and call require() for Node's own modules.
  banner: {
    js:
      '#!/usr/bin/env node\nimport { createRequire as __createRequire } from "node:module";\n' +
      "const require = __createRequire(import.meta.url);",
  },
  logLevel: "warning",
  plugins: isMutant ? [createMutation(await findMutant(values.without))] : [],
});

for (const program of Object.keys(programs)) {
  await chmod(`${outdir}/${program}.mjs`, 0o755);
}

function pickPlan() {
  if (values.platform) return { outdir: "target", programs: PLATFORM_PROGRAMS };
  if (!isMutant) return { outdir: "dist", programs: PROGRAMS };
  return { outdir: `dist/without-${values.without}`, programs: DAEMONS };
}

async function findMutant(name) {
  const texts = await Promise.all(
    MUTANTS_FILES.map((file) => readFile(file, "utf8")),
  );
  const mutants = texts.flatMap((text) => JSON.parse(text));
  const mutant = mutants.find((one) => one.mechanism === name);
  if (!mutant) throw new Error(`Cannot find mechanism "${name}"`);
  return mutant;
}

/** Replaces one text of one file; a text that is gone fails the build. */
function createMutation({ mechanism, file, find, replace }) {
  const path = resolve(file);
  return {
    name: `without-${mechanism}`,
    setup({ onLoad }) {
      onLoad({ filter: /\.ts$/ }, async (args) => {
        if (args.path !== path) return undefined;
        const source = await readFile(path, "utf8");
        if (source.split(find).length !== 2) {
          throw new Error(`Cannot mutate "${file}": the text must stand once`);
        }
        return { contents: source.replace(find, () => replace), loader: "ts" };
      });
    },
  };
}
