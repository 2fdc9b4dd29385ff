import { createRandom } from "../../standIns/client/createRandom.js";
import { createTafOptions } from "../../testing/createTafOptions.js";
import { Fleet } from "../../testing/fleet.js";
import { ClientLoad } from "../clientLoad.js";
import { engineSettings } from "../engineSettings.js";
import type { MeasureOptions } from "../measureOptions.js";
import { planLightAccounts } from "../planLightAccounts.js";
import { waitMs } from "../waitMs.js";
import { listUsageSeries } from "./listUsageSeries.js";
import { measureUsage } from "./measureUsage.js";
import type { SlopeSeries } from "./slopeSeries.js";
import type { UsageRates } from "./usageRates.js";

const DAEMONS = 7;
const CALLERS = 14;
const SETTLE_MS = 2_000;

/** Measures the resource usage of 7 daemons under the same light load with increasing numbers of targets. */
export async function measureTargetSeries(
    options: MeasureOptions,
    seconds: number,
): Promise<readonly SlopeSeries[]> {
    const points: [number, UsageRates][] = [];
    const plans = planLightAccounts(7, CALLERS, 0);
    for (const engines of options.quick ? [6, 12, 18] : [12, 36, 72]) {
        options.logProgress(`${engines} targets`);
        const shape = createTafOptions({
            accounts: Object.fromEntries(plans.map(plan => [plan.name, plan.weight])),
            instances: DAEMONS,
            engines,
            fleet: { engine: engineSettings, daemon: { logLevel: "warn" } },
        });
        const fleet = await Fleet.create(shape);
        try {
            const load = ClientLoad.create({ fleet, plans, random: createRandom(options.seed) });
            await waitMs(SETTLE_MS);
            points.push([engines, await measureUsage(fleet, seconds)]);
            await load.stop();
        }
        finally {
            await fleet.close();
        }
    }
    return listUsageSeries("targets", "target (7 daemons, 14 callers)", points);
}
