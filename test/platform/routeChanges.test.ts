import test, { registerCompletionHandler } from "ava";
import { buildFleetConfiguration } from "../../src/testing/platform/buildFleetConfiguration.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { VersionedEngines } from "../testing/router/versionedEngines.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const STREAMS = 12;
const EVENTS = 12;
const EVENT_MS = 100;
/** Longest time-out of a stream and the time for which targets that have left go on serving, with a margin. */
const SETTLING_MS = 16_500;
const BEGIN_MS = 500;
/** Time from the store's answer to the loss of the instance. */
const LOSS_MS = 4;

interface Route {
    readonly name: string;
    readonly [field: string]: unknown;
}

interface Configuration {
    readonly routes: readonly Route[];
    readonly services: readonly object[];
}

function addRoute({ routes, services }: Configuration, fields: object, service?: object): Configuration {
    const [stream] = routes;
    return {
        routes: [...routes, { ...stream, ...fields } as Route],
        services: service ? [...services, service] : services,
    };
}

const CHANGES: Readonly<Record<string, (former: Configuration) => Configuration>> = {
    "a route is added": former => addRoute(former, { name: "added", pathPrefix: "/added/" }),
    "another route is made resumable": ({ routes, services }) => ({
        routes: routes.map(route => route.name === "once" ? { ...route, resumable: true } : route),
        services,
    }),
    "a service is added with a route of its own": former =>
        addRoute(
            former,
            { name: "new", pathPrefix: "/new/", service: "new" },
            { name: "new", engine: { slots: 16, kvTokens: 100_000 } },
        ),
    "the route is split into two prefixes": former =>
        addRoute(former, { name: "part", pathPrefix: "/stream/x/" }),
};

// Every change of the resumable routes ended the certainty of all origins, so that no instance could say where the streams of
// one began that ended before it had read the change.
test("route changes: streams of an instance that ends right after a change go on at others", async t => {
    t.timeout(90_000);
    const instances = Object.keys(CHANGES).length + 2;
    const fleet = await createRouterFleet(t, { instances });
    const engines = await VersionedEngines.create(fleet, { a0: "A", a1: "A", a2: "A" });
    engines.eventMs = EVENT_MS;
    await new Promise(resolve => setTimeout(resolve, SETTLING_MS));
    const former = buildFleetConfiguration({ version: 100, engineSlots: 16, apiKeys: [fleet.key] });
    let configuration = former as Configuration & { readonly version: number; };
    for (const [lost, [what, change]] of Object.entries(CHANGES).entries()) {
        const begun = Array.from({ length: STREAMS }, () => engines.start(lost));
        await new Promise(resolve => setTimeout(resolve, BEGIN_MS));
        configuration = { ...configuration, ...change(configuration), version: configuration.version + 1 };
        fleet.store.write("op/config", configuration);
        await new Promise(resolve => setTimeout(resolve, LOSS_MS));
        const instance = fleet.instances[lost];
        await fleet.killInstances(instance ? [instance] : []);
        const parts = await Promise.all(begun);
        t.true(parts.every(({ events, isWhole }) => events.length > 0 && !isWhole), what);
        const rest = await Promise.all(
            parts.map((part, i) => engines.resume(instances - 1 - i % 2, part, part)),
        );
        const complete = rest.filter(({ isWhole, events }, i) =>
            isWhole && events.length + (parts[i]?.events.length ?? 0) === EVENTS
        );
        t.is(complete.length, STREAMS, `${what}: ${rest.map(({ status }) => status).join(" ")}`);
    }
});
