/**
 * Mocha reporter of `npm test`: prints the output of the spec reporter and
 * writes all results for `ci_verdict.mjs`, to dist/test_report.json unless the
 * option `report` names another file.
 */
import mocha from "mocha";
import { mkdirSync, writeFileSync } from "node:fs";

const DEFAULT_REPORT_FILE = "dist/test_report.json";
const { EVENT_RUN_END, EVENT_TEST_FAIL, EVENT_TEST_PASS, EVENT_TEST_PENDING } =
  mocha.Runner.constants;

/** Spec reporter that also writes a machine-readable report. */
export default class ReportingSpec extends mocha.reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    const reportFile = options.reporterOption?.report ?? DEFAULT_REPORT_FILE;
    const report = { passed: [], failed: [], pending: [] };
    runner.on(EVENT_TEST_PASS, (test) => report.passed.push(test.fullTitle()));
    runner.on(EVENT_TEST_FAIL, (test) => report.failed.push(test.fullTitle()));
    runner.on(
      EVENT_TEST_PENDING,
      (test) => report.pending.push(test.fullTitle()),
    );
    runner.once(EVENT_RUN_END, () => {
      mkdirSync("dist", { recursive: true });
      writeFileSync(reportFile, JSON.stringify(report, null, 2));
    });
  }
}
