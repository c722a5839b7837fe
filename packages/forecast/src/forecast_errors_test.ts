import { expect } from "chai";
import { AheadWork } from "./ahead_work.ts";
import { type Forecast, ForecastErrors } from "./forecast_errors.ts";

const FORECAST: Forecast = {
  route: "drafts",
  stage: 2,
  predictedMs: 150,
  isOnTime: true,
  isLast: true,
};

/** Records times that are evenly spread between two bounds. */
function recordSpread(
  errors: ForecastErrors,
  [fromMs, toMs]: [number, number],
  overrides: Partial<Forecast> = {},
): void {
  const count = 200;
  for (let i = 0; i < count; i++) {
    // A stride that is coprime to the count visits all values in mixed order.
    const share = (i * 77 % count) / count;
    const actualMs = fromMs + (toMs - fromMs) * share;
    errors.recordError({ ...FORECAST, ...overrides }, actualMs);
  }
}

describe("ForecastErrors", () => {
  it("gives the median time to the first event and the 0.8 error", () => {
    const errors = new ForecastErrors();
    recordSpread(errors, [150, 650]);
    expect(errors.getFirstEventMs("drafts")).to.be.within(370, 430);
    expect(errors.getMarginMs("drafts", 2, 2_000)).to.be.within(370, 430);
  });

  // Guards against overload that raises the margin, which refuses more and more.
  it("learns no margin from requests that were late at the result", () => {
    const errors = new ForecastErrors();
    recordSpread(errors, [2_000, 4_000], { isOnTime: false });
    expect(errors.getMarginMs("drafts", 2, 2_000)).to.equal(0);
  });

  // After a stall of the engines every forecast is late, so that a time learned from
  // forecasts on time alone would never fall again.
  it("learns the time to the first event again after a stall of engines", () => {
    const errors = new ForecastErrors();
    recordSpread(errors, [2_000, 4_000]);
    recordSpread(errors, [100, 200], { isOnTime: false });
    expect(errors.getFirstEventMs("drafts")).to.be.within(130, 170);
  });

  it("bounds margins to 0 and 0.35 of the objective", () => {
    const errors = new ForecastErrors();
    recordSpread(errors, [10, 100]);
    recordSpread(errors, [3_000, 5_000], { stage: 0, isLast: false });
    expect(errors.getMarginMs("drafts", 2, 1_000)).to.be.within(0, 20);
    expect(errors.getMarginMs("drafts", 0, 1_000)).to.equal(350);
  });

  // A VM that has just started must serve as before until it has learned.
  it("has no margin after a start, and one after eight requests", () => {
    const errors = new ForecastErrors();
    for (let i = 0; i < 7; i++) errors.recordError(FORECAST, 450);
    expect(errors.getMarginMs("drafts", 2, 2_000)).to.equal(0);
    errors.recordError(FORECAST, 450);
    expect(errors.getMarginMs("drafts", 2, 2_000)).to.be.within(270, 330);
  });

  // Guards against a margin that stays after a slow phase of the engines.
  it("follows a change within 100 requests", () => {
    const errors = new ForecastErrors();
    recordSpread(errors, [700, 900]);
    for (let i = 0; i < 100; i++) errors.recordError(FORECAST, 150);
    expect(errors.getMarginMs("drafts", 2, 2_000)).to.be.below(21);
    expect(errors.getFirstEventMs("drafts")).to.be.within(135, 165);
  });

  // Weights grow with each sample and are scaled down before they lose precision.
  it("stays accurate after 100,000 requests", () => {
    const errors = new ForecastErrors();
    for (let i = 0; i < 500; i++) recordSpread(errors, [150, 650]);
    expect(errors.getFirstEventMs("drafts")).to.be.within(340, 460);
  });

  // Guards against memory that grows with the names of routes.
  it("keeps at most 256 routes, the latest ones", () => {
    const errors = new ForecastErrors();
    for (let i = 0; i < 300; i++) {
      recordSpread(errors, [300, 400], { route: `route-${i}` });
    }
    expect(errors.size).to.equal(256);
    expect(errors.getFirstEventMs("route-0")).to.equal(undefined);
    expect(errors.getFirstEventMs("route-299")).to.be.above(0);
  });
});

describe("AheadWork", () => {
  // Guards against work of ended requests that stays and refuses later ones.
  it("is empty again when all work is removed, once each", () => {
    const ahead = new AheadWork();
    const removals = [0.1, 0.2, 0.7].map((workMs) => ahead.add("p", workMs));
    expect(ahead.getMs("p")).to.be.closeTo(1, 1e-9);
    for (const remove of [...removals, ...removals]) remove();
    expect(ahead.getMs("p")).to.equal(0);
  });
});
