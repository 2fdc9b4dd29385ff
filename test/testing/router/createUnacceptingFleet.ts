import type { ExecutionContext } from "ava";
import { waitUntil } from "../../../src/testing/waitUntil.js";
import { createRouterFleet } from "./createRouterFleet.js";
import { UnacceptingTarget } from "./unacceptingTarget.js";

const ROUTE_TIMEOUT_MS = 4000;

/** Creates a fleet of one instance; the only targets of a service are `count` ones that accept no connection for now. */
export async function createUnacceptingFleet(
    t: ExecutionContext,
    service: "engine" | "plain",
    count: number,
): Promise<{
    readonly fleet: Awaited<ReturnType<typeof createRouterFleet>>;
    readonly targets: readonly UnacceptingTarget[];
}> {
    const fleet = await createRouterFleet(t, { engines: 0, plainTargets: 1 });
    if (service === "plain") {
        const route = { host: "h", maxAttempts: 2, service, public: true, targetLatencyMs: 200 };
        const kinds = ["safe", "unsafe"];
        fleet.store.write("op/config", {
            version: 1000,
            routes: kinds.map(kind => ({
                ...route,
                kind,
                name: kind,
                pathPrefix: `/${kind}/`,
                timeoutMs: ROUTE_TIMEOUT_MS,
            })),
            services: [{ name: service }],
        });
        fleet.targets.forEach(target => fleet.setRegistration(target, "removed"));
    }
    const targets = await Promise.all(
        Array.from({ length: count }, (_, i) => UnacceptingTarget.create(fleet, `silent-${i}`, service)),
    );
    t.teardown(() => Promise.all(targets.map(target => target.close())));
    await waitUntil("the targets are known", () => fleet.store.isFollowed);
    await new Promise(resolve => setTimeout(resolve, 300));
    return { fleet, targets };
}
