import test from "ava";
import type { ClusterView } from "../../../src/core/membership/clusterView.js";
import { AggregationPosition } from "../../../src/daemon/actors/aggregationPosition.js";
import { makeDispatchInputs } from "../../testing/makeDispatchInputs.js";

test("guards against accounts that lag for minutes before they request slots of remote regions", t => {
    const view: ClusterView = {
        configurationRevision: 1,
        configurationDigest: "",
        index: makeDispatchInputs().index,
        instances: { revision: 1, instances: [] },
        instancesAdoptedAt: 0,
        suspected: new Set(),
        leaving: new Set(),
    };
    const position = AggregationPosition.create("a", 500);
    for (let now = 0; now <= 20_000; now += 500) {
        position.observeLevel(now / 5, now);
    }
    t.true(position.getLimits(view).remoteLagThreshold <= 20 * 200, "20 s at 200 tokens/s");
});
