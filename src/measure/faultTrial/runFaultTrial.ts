import { createRandom } from "../../standIns/client/createRandom.js";
import { waitForOrders } from "../../testing/waitForOrders.js";
import { ClientLoad } from "../clientLoad.js";
import { createMeasuredFleet } from "../createMeasuredFleet.js";
import type { MeasureOptions } from "../measureOptions.js";
import { planLightAccounts } from "../planLightAccounts.js";
import { waitMs } from "../waitMs.js";
import { computeVerdicts } from "./computeVerdicts.js";
import { countBreaches } from "./countBreaches.js";
import { countStrayArrivals } from "./countStrayArrivals.js";
import { describeFindings } from "./describeFindings.js";
import { injectFault } from "./injectFault.js";
import { planFaults } from "./planFaults.js";
import type { PlannedStop } from "./plannedStop.js";
import type { VerdictCounts } from "./verdictCounts.js";

interface TrialResult extends VerdictCounts {
    readonly faultsInjected: number;
    /** Arrivals from outside the trial, for example when another process uses a port that was briefly free. */
    readonly strayArrivals: number;
    /** Requests that arrived at targets, including refused ones and retries. */
    readonly arrivals: number;
    readonly limitBreaches: number;
    readonly breachesDuringNotice: number;
    readonly uncleanStops: number;
}

const CALLERS = 60;
const REGION_DELAY_MS = 15;
const CALL_DEADLINE_MS = 20_000;
const RECOVERY_MS = 3_000;

/** Runs one seeded schedule of faults against a new fleet under load. */
export async function runFaultTrial(
    options: MeasureOptions,
    seed: number,
    seconds: number,
): Promise<TrialResult> {
    const random = createRandom(seed);
    const plans = planLightAccounts(options.accounts, CALLERS, 0.4);
    const fleet = await createMeasuredFleet(options, plans, {
        proxied: true,
        regionDelayMs: REGION_DELAY_MS,
    });
    try {
        await waitForOrders(fleet, plans[0]?.name ?? "");
        const events = planFaults({
            daemons: [...fleet.daemons].sort(),
            targets: fleet.targets.names,
            regions: fleet.configuration.regions.map(region => region.name),
            durationMs: seconds * 1000,
            random,
        });
        options.logProgress(`seed ${seed} faults ${JSON.stringify(events)}`);
        const stops: PlannedStop[] = [];
        const load = ClientLoad.create({
            fleet,
            plans,
            random: createRandom(seed + 1),
            orderShare: 0.7,
            deadlineMs: CALL_DEADLINE_MS,
        });
        const startMs = Date.now();
        const lanes = [...new Set(events.map(event => event.lane))];
        await Promise.all(lanes.map(async lane => {
            for (const event of events.filter(candidate => candidate.lane === lane)) {
                await waitMs(Math.max(0, startMs + event.atMs - Date.now()));
                await injectFault(fleet, event, stop => stops.push(stop));
            }
        }));
        await waitMs(RECOVERY_MS);
        const unanswered = await load.stop(CALL_DEADLINE_MS * 2);
        const arrivals = await Promise.all(fleet.targets.names.map(name => fleet.targets.readArrivals(name)));
        const summaries = await fleet.targets.readSummaries();
        for (const finding of describeFindings(load.results, summaries, startMs)) {
            options.logProgress(finding);
        }
        return {
            ...computeVerdicts(load.results, unanswered, arrivals.flat(), stops),
            faultsInjected: events.length,
            arrivals: arrivals.flat().length,
            strayArrivals: countStrayArrivals(arrivals.flat(), load.results, startMs),
            ...countBreaches(summaries.flatMap(summary => summary.breachRecords)),
            uncleanStops: stops.filter(stop => stop.exitCode !== 0).length,
        };
    }
    finally {
        await fleet.close();
    }
}
