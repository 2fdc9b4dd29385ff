import type { CallResult } from "../../standIns/client/callResult.js";
import { createRandom } from "../../standIns/client/createRandom.js";
import type { Fleet } from "../../testing/fleet.js";
import { waitForOrders } from "../../testing/waitForOrders.js";
import { ClientLoad } from "../clientLoad.js";
import { collectSamples } from "../collectSamples.js";
import { computePercentile } from "../computePercentile.js";
import { computeUse } from "../computeUse.js";
import { createMeasuredFleet } from "../createMeasuredFleet.js";
import type { FleetSample } from "../fleetSample.js";
import { formatFigure } from "../formatFigure.js";
import { planLightAccounts } from "../planLightAccounts.js";
import type { Scenario } from "../scenario.js";
import { waitMs } from "../waitMs.js";

const DEFAULT_PHASE_SECONDS = 10;
const CALL_DEADLINE_MS = 15_000;
const DATA_CENTRE = "bangor-a";
/** Few enough callers for the 64 slots of the other two data centres. */
const CALLERS = 60;
/** Fraction of the earlier mean of running requests at which the data centre is back in full service. */
const FULL_SERVICE = 0.9;

/** Measures the effect on callers when a data centre is taken out of service and returned. */
export const measureDataCentre: Scenario = async options => {
    const random = createRandom(options.seed);
    const plans = planLightAccounts(options.accounts, CALLERS, 0.1);
    const fleet = await createMeasuredFleet(options, plans);
    try {
        await waitForOrders(fleet, plans[0]?.name ?? "");
        const phaseMs = (options.durationSeconds ?? DEFAULT_PHASE_SECONDS) * 1000;
        const load = ClientLoad.create({ fleet, plans, random, deadlineMs: CALL_DEADLINE_MS });
        const startMs = Date.now();
        await waitMs(phaseMs);
        const outAtMs = Date.now();
        options.logProgress(`taking out ${DATA_CENTRE}`);
        await fleet.setInService("dataCentres", DATA_CENTRE, false);
        await waitMs(phaseMs);
        const backAtMs = Date.now();
        options.logProgress(`returning ${DATA_CENTRE}`);
        await fleet.setInService("dataCentres", DATA_CENTRE, true);
        await waitMs(phaseMs);
        const samples = await collectSamples(fleet.targets);
        const unanswered = await load.stop(CALL_DEADLINE_MS * 2);
        const engines = listEngines(fleet, name => name === DATA_CENTRE);
        const others = listEngines(fleet, name => name !== DATA_CENTRE);
        const during = samples.filter(sample => sample.atMs > outAtMs && sample.atMs < backAtMs);
        const compute99 = (fromMs: number, toMs: number): number | undefined =>
            formatFigure(computePercentile(listLatencies(load.results, fromMs, toMs), 99), 1);
        return {
            policy: options.policy,
            seed: options.seed,
            lastNewWorkAfterMs: await findLastWork(fleet, outAtMs, backAtMs),
            failedRequests: load.results.filter(result => !result.correct).length + unanswered,
            requests: load.results.length,
            p99BeforeMs: compute99(startMs, outAtMs),
            p99DuringMs: compute99(outAtMs, backAtMs),
            p99AfterMs: compute99(backAtMs, Infinity),
            timeToFullServiceMs: findFullService(
                samples.filter(sample => sample.atMs > backAtMs),
                engines,
                countMeanRunning(
                    samples.filter(sample => sample.atMs > startMs && sample.atMs < outAtMs),
                    engines,
                ),
                backAtMs,
            ),
            utilisationDuring: formatFigure(computeUse(during, others, () => 1).utilisation),
            wrongAnswers: load.results.filter(result => result.verdict === "wrong").length,
        };
    }
    finally {
        await fleet.close();
    }
};

function listEngines(fleet: Fleet, matches: (dataCentre: string) => boolean): readonly string[] {
    return fleet.configuration.targets
        .filter(target => target.service === "model-desk" && matches(target.dataCentre))
        .map(target => target.name);
}

function listLatencies(results: readonly CallResult[], fromMs: number, toMs: number): readonly number[] {
    return results
        .filter(result => result.correct && result.startMs >= fromMs && result.startMs < toMs)
        .map(result => result.endMs - result.startMs);
}

/** Returns the milliseconds from taking the data centre out to the last request that arrived there, or 0. */
async function findLastWork(fleet: Fleet, outAtMs: number, backAtMs: number): Promise<number> {
    const names = fleet.configuration.targets.filter(target => target.dataCentre === DATA_CENTRE);
    const arrivals = await Promise.all(names.map(target => fleet.targets.readArrivals(target.name)));
    return Math.max(
        0,
        ...arrivals.flat().filter(arrival => arrival.startMs < backAtMs).map(arrival =>
            arrival.startMs - outAtMs
        ),
    );
}

function countRunning(sample: FleetSample, targets: readonly string[]): number {
    return targets.reduce((sum, name) => sum + (sample.running.get(name) ?? 0), 0);
}

function countMeanRunning(samples: readonly FleetSample[], targets: readonly string[]): number {
    return samples.reduce((sum, sample) => sum + countRunning(sample, targets), 0)
        / Math.max(1, samples.length);
}

function findFullService(
    samples: readonly FleetSample[],
    engines: readonly string[],
    before: number,
    backAtMs: number,
): number | undefined {
    const full = samples.find(sample => countRunning(sample, engines) >= FULL_SERVICE * before);
    return full && full.atMs - backAtMs;
}
