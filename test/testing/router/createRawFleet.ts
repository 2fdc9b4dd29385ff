import type { ExecutionContext } from "ava";
import type { CooperativeFleetOptions } from "../../../src/testing/platform/cooperativeFleetOptions.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";
import { createRouterFleet } from "./createRouterFleet.js";
import { RawTarget } from "./rawTarget.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];

/** Creates a fleet of one instance whose only targets of a service are raw ones. */
export async function createRawFleet(
    t: ExecutionContext,
    service: "engine" | "plain",
    serves: readonly ((request: RawRequest) => void)[],
    options: Partial<CooperativeFleetOptions> = {},
): Promise<
    { readonly fleet: Awaited<ReturnType<typeof createRouterFleet>>; readonly targets: readonly RawTarget[]; }
> {
    const fleet = await createRouterFleet(t, { engines: 0, plainTargets: 1, ...options });
    const targets = await Promise.all(
        serves.map((serve, i) => RawTarget.create(fleet, `raw-${i}`, service, serve)),
    );
    t.teardown(() => targets.forEach(target => target.close()));
    if (service === "plain") {
        fleet.targets.forEach(target => fleet.setRegistration(target, "removed"));
    }
    await waitUntil("the targets are known", () => fleet.store.isFollowed);
    await new Promise(resolve => setTimeout(resolve, 300));
    return { fleet, targets };
}
