import { createTafOptions } from "../testing/createTafOptions.js";
import { Fleet } from "../testing/fleet.js";
import type { FleetOptions } from "../testing/fleetOptions.js";
import type { AccountPlan } from "./accountPlan.js";
import { engineSettings } from "./engineSettings.js";
import type { MeasureOptions } from "./measureOptions.js";

/** Starts the fleet that most benchmarks use: 12 engines with 8 slots, 3 targets of the plain service. */
export function createMeasuredFleet(
    options: MeasureOptions,
    plans: readonly AccountPlan[],
    fleet: Partial<FleetOptions> = {},
): Promise<Fleet> {
    return Fleet.create(createTafOptions({
        accounts: Object.fromEntries(plans.map(plan => [plan.name, plan.weight])),
        instances: options.instances,
        fleet: {
            engine: engineSettings,
            plainService: { serviceMs: 20, loadLagMs: 200 },
            daemon: { policy: options.policy, logLevel: "warn" },
            ...options.logDirectory === undefined ? {} : { logDirectory: options.logDirectory },
            ...fleet,
        },
    }));
}
