import test from "ava";
import type { RouterConfiguration } from "../../../src/core/routing/routerConfiguration.js";
import { OriginCertainty } from "../../../src/core/streams/originCertainty.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const V1 = makeTargetDescriptor("t1", { version: "v1", startedAtMs: 1 });
const { route } = makeRoutedRequest();
const CONFIGURATION = { routesByHost: new Map([[route.host, [route]]]) } as unknown as RouterConfiguration;
const PLACE = { host: route.host, path: "/", position: 0 };

// Without a readable configuration an instance does not know which time-outs others go by.
test("the first configuration does not count as a change from shorter time-outs", t => {
    const certainty = OriginCertainty.create(3000);
    certainty.observeTargets([V1], 0);
    certainty.recordConfirmation(0, 0);
    certainty.observeConfiguration(CONFIGURATION, 1000);
    const routes = OriginCertainty.create(3000);
    routes.observeConfiguration(CONFIGURATION, 0);
    routes.observeTargets([V1], 0);
    for (let now = 0; now <= 21_000; now += 1000) {
        routes.recordConfirmation(now, now);
    }
    const told = routes.buildHistory(21_000);
    t.truthy(told);
    if (told) {
        const versions = [["s", "v1", 0], ["s", "v0", 15_000]] as const;
        certainty.joinHistory({ ...told, versions }, 1500, 1500);
        t.is(certainty.findSoleOrigin(PLACE, 1500), undefined);
        certainty.recordConfirmation(1500, 1500);
        t.is(certainty.findSoleOrigin(PLACE, 1500), undefined);
    }
});
