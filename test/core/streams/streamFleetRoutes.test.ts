import test, { type ExecutionContext } from "ava";
import { setImmediate } from "node:timers/promises";
import type { RouteRule } from "../../../src/core/routing/routeRule.js";
import { createStreamDay } from "../../testing/streams/createStreamDay.js";

const SEEDS = [1, 2, 3];
/** An instance reads a change this late at most, and may send a stream to the former service until then. */
const MAX_DELAY_MS = 3000;

/** Adds a test after which the runner sees its result: all of them take seconds without a pause. */
function addTest(title: string, run: (t: ExecutionContext) => void): void {
    test.serial(title, async t => {
        await setImmediate();
        run(t);
    });
}

const ADDED: readonly Partial<RouteRule>[] = [{ pathPrefix: "/b/" }, { pathPrefix: "/" }];
const MOVED: readonly Partial<RouteRule>[] = [
    { pathPrefix: "/", backends: [{ service: "s", weight: 3 }, { service: "other", weight: 1 }] },
];

for (const instances of [7, 90, 300]) {
    for (const seed of SEEDS) {
        const name = `${instances} instances, seed ${seed}`;

        // All instances forgot where streams had begun when any route changed.
        addTest(`${name}: find where streams began whose instance ended right after a route was added`, t => {
            const { fleet, runTraffic, endInstances } = createStreamDay(instances, seed);
            for (let i = 0; i < 4; i += 1) {
                const streams = Array.from({ length: 12 }, () => fleet.startStream(i));
                fleet.setRoutes(i % 2 === 0 ? ADDED : [{ pathPrefix: "/" }]);
                fleet.run(fleet.now + 4);
                endInstances(index => index === i, 2000);
                streams.forEach((stream, j) =>
                    fleet.schedule(100 + j, () => stream && fleet.takeUp((i + 1 + j % 2) % instances, stream))
                );
                runTraffic(fleet.now + 4000);
            }
            t.is(fleet.sent.messages > 0, true);
            t.deepEqual(fleet.wrong, []);
            t.deepEqual(fleet.misrouted, []);
            t.true(fleet.inTouch.unknown < fleet.inTouch.found / 100, JSON.stringify(fleet.inTouch));
        });

        addTest(
            `${name}: name no other version or service while routes move, versions change and instances end`,
            t => {
                const { fleet, runTraffic, setVersions, endInstances } = createStreamDay(instances, seed);
                const step = instances < 300 ? 2000 : 1000;
                fleet.setRoutes(MOVED);
                runTraffic(fleet.now + step);
                setVersions(["v1", "v2"]);
                runTraffic(fleet.now + step);
                fleet.setRoutes(ADDED);
                fleet.run(fleet.now + 4);
                endInstances(index => index % 3 === 0, 1000);
                runTraffic(fleet.now + step);
                setVersions(["v2"]);
                fleet.setRoutes([]);
                runTraffic(fleet.now + step / 2);
                fleet.setRoutes(MOVED);
                runTraffic(fleet.now + 2 * step);
                t.deepEqual(fleet.wrong, []);
                t.deepEqual(fleet.misrouted.filter(ms => ms > MAX_DELAY_MS), []);
                t.true(fleet.inTouch.found > fleet.inTouch.unknown, JSON.stringify(fleet.inTouch));
            },
        );
    }

    addTest(
        `${instances} instances with 45 streams a second each send nothing for routes that are added each four seconds`,
        t => {
            const { fleet } = createStreamDay(instances, 1);
            const measure = (routes: (turn: number) => readonly Partial<RouteRule>[]): number => {
                Object.assign(fleet.sent, { messages: 0, bytes: 0 });
                for (let turn = 0; turn < 2; turn += 1) {
                    fleet.setRoutes(routes(turn));
                    for (const until = fleet.now + 4000; fleet.now < until; fleet.run(fleet.now + 200)) {
                        for (let i = 0; i < instances * 9; i += 1) {
                            fleet.startStream(i % instances);
                        }
                    }
                }
                return Math.round(fleet.sent.bytes / instances / 8);
            };
            t.is(measure(turn => [{ pathPrefix: `/${turn}/` }, { pathPrefix: "/" }]), 0);
            const moving = measure(() => MOVED);
            t.log("a quarter of a route moves, bytes a second of an instance", moving);
            t.true(moving < 4000);
        },
    );
}
