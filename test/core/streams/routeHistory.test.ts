import test from "ava";
import type { RouteRule } from "../../../src/core/routing/routeRule.js";
import { RouteHistory } from "../../../src/core/streams/routeHistory.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeStreamConfiguration } from "../../testing/streams/makeStreamConfiguration.js";

const { route } = makeRoutedRequest();
const ROUTE: RouteRule = { ...route, host: "h", pathPrefix: "/a/", kind: "stream", isResumable: true };
const PLACE = { host: "h", path: "/a/x", position: 0 };
const ROUTES_OF_VERSION = 6000;

function makeVersion(version: number): ReturnType<typeof makeStreamConfiguration> {
    const others = Array.from(
        { length: ROUTES_OF_VERSION },
        (_, i) => ({ ...ROUTE, pathPrefix: `/${version}-${i}/` }),
    );
    return makeStreamConfiguration([...others, ROUTE]);
}

// Guards against former routes that are kept whatever their number: large configurations in quick succession fill the heap.
test("forgets the earliest of many former routes, and then is not certain of the streams of their time", t => {
    const history = RouteHistory.create();
    history.reset(0);
    const versions = [1, 2, 3, 4, 5, 6].map(version => ({ version, at: version * 100 }));
    versions.forEach(({ version, at }) => history.observe(makeVersion(version), at));
    const [service] = ROUTE.backends.map(backend => backend.service);
    // Versions 3, 4 and 5 are kept beside the current one; version 2 ended at 300.
    t.is(history.coveredSince, 300);
    t.is(history.findSoleService(PLACE, 300, 600), service);
    t.is(history.findSoleService(PLACE, 299, 600), undefined);
});

test("keeps no routes of hosts without streams", t => {
    const history = RouteHistory.create();
    history.reset(0);
    for (let version = 1; version <= 6; version += 1) {
        const { routesByHost } = makeVersion(version);
        const plain = [...routesByHost.values()].flat().map(rule => ({ ...rule, host: "p", kind: "safe" }));
        const configuration = {
            routesByHost: new Map([["h", [ROUTE]], ["p", plain]]),
        } as unknown as ReturnType<typeof makeStreamConfiguration>;
        history.observe(configuration, version * 100);
    }
    t.is(history.coveredSince, 0);
    t.is(history.current.size, 1);
});
