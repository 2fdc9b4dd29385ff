import type { ExecutionContext } from "ava";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";
import { RawTarget } from "../router/rawTarget.js";

type Serve = Parameters<typeof RawTarget.create>[3];

/** The router reads changes in quick succession together. */
const FOLLOW_MS = 1000;

/** Starts targets of a service, and waits until the router knows them. */
export async function startTargets(
    t: ExecutionContext,
    fleet: CooperativeFleet,
    service: "engine" | "plain",
    count: number,
    serve: Serve,
): Promise<void> {
    const targets = await Promise.all(
        Array.from(
            { length: count },
            (_, i) => RawTarget.create(fleet, `${service}-raw-${i}`, service, serve),
        ),
    );
    t.teardown(() => targets.forEach(target => target.close()));
    await waitUntil("the targets are known", () => fleet.store.isFollowed);
    await new Promise(resolve => setTimeout(resolve, FOLLOW_MS));
}
