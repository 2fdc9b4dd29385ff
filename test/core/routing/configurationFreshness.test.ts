import test from "ava";
import { ConfigurationFreshness } from "../../../src/core/routing/configurationFreshness.js";

test("rejects keys before the configuration is confirmed", t => {
    t.false(ConfigurationFreshness.create(1000).isFresh(0, 0));
});

test("rejects keys after the machine was suspended, when the monotonic clock has not advanced", t => {
    const freshness = ConfigurationFreshness.create(1000);
    freshness.recordConfirmation(0, 50_000);
    t.true(freshness.isFresh(900, 50_900));
    t.false(freshness.isFresh(10, 60_000));
});

test("rejects keys after the limit, when the wall clock was set back", t => {
    const freshness = ConfigurationFreshness.create(1000);
    freshness.recordConfirmation(0, 50_000);
    t.false(freshness.isFresh(1000, 48_000));
});
