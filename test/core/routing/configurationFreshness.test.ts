import test from "ava";
import { ConfigurationFreshness } from "../../../src/core/routing/configurationFreshness.js";

test("keys are not accepted before the configuration was confirmed", t => {
    t.false(ConfigurationFreshness.create(1000).isFresh(0, 0));
});

test("a machine that was suspended does not accept a key on its old view, though its steady clock stood still", t => {
    const freshness = ConfigurationFreshness.create(1000);
    freshness.recordConfirmation(0, 50_000);
    t.true(freshness.isFresh(900, 50_900));
    t.false(freshness.isFresh(10, 60_000));
});

test("a time of day that was set back does not keep a revoked key alive", t => {
    const freshness = ConfigurationFreshness.create(1000);
    freshness.recordConfirmation(0, 50_000);
    t.false(freshness.isFresh(1000, 48_000));
});
