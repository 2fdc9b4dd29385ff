import type { ExecutionContext } from "ava";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";
import type { CooperativeFleetOptions } from "../../../src/testing/platform/cooperativeFleetOptions.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";
import { createRouterFleet } from "../router/createRouterFleet.js";
import { sendToFleet } from "../router/sendToFleet.js";
import { buildPaddedConfiguration } from "./buildPaddedConfiguration.js";
import { readRuntimeArguments } from "./readRuntimeArguments.js";

/** Above each version that the fleet publishes itself. */
const FIRST_VERSION = 1000;

/** Starts one router process with the arguments of the deploy file and a limit of its memory in MiB; its configuration has
 * version 1000. */
export async function createLimitedRouter(
    t: ExecutionContext,
    memoryMb: number,
    options: Partial<CooperativeFleetOptions> = {},
): Promise<CooperativeFleet> {
    const fleet = await createRouterFleet(t, {
        engines: 0,
        plainTargets: 1,
        memoryMb,
        runtimeArguments: readRuntimeArguments(),
        ...options,
    });
    fleet.store.write("op/config", buildPaddedConfiguration(FIRST_VERSION, 0));
    await waitUntil(
        "the routes are known",
        async () => (await sendToFleet(fleet, "/known/x")).status === 200,
    );
    return fleet;
}
