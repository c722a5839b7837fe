/**
 * Mocha reporter of `npm test`: prints what the spec reporter prints and
 * writes every result to dist/test_report.json, which CI's verdict reads.
 */
import mocha from "mocha";
import { mkdirSync, writeFileSync } from "node:fs";

const REPORT_FILE = "dist/test_report.json";
const { EVENT_RUN_END, EVENT_TEST_FAIL, EVENT_TEST_PASS, EVENT_TEST_PENDING } =
  mocha.Runner.constants;

/** The spec reporter with a machine-readable report beside it. */
export default class ReportingSpec extends mocha.reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    const report = { passed: [], failed: [], pending: [] };
    runner.on(EVENT_TEST_PASS, (test) => report.passed.push(test.fullTitle()));
    runner.on(EVENT_TEST_FAIL, (test) => report.failed.push(test.fullTitle()));
    runner.on(
      EVENT_TEST_PENDING,
      (test) => report.pending.push(test.fullTitle()),
    );
    runner.once(EVENT_RUN_END, () => {
      mkdirSync("dist", { recursive: true });
      writeFileSync(REPORT_FILE, JSON.stringify(report, null, 2));
    });
  }
}
