import { computeGapBound } from "../../core/fairness/computeGapBound.js";
import { createRandom } from "../../standIns/client/createRandom.js";
import { createTafOptions } from "../../testing/createTafOptions.js";
import { Fleet } from "../../testing/fleet.js";
import { waitForOrders } from "../../testing/waitForOrders.js";
import type { AccountPlan } from "../accountPlan.js";
import { ClientLoad } from "../clientLoad.js";
import { collectSamples } from "../collectSamples.js";
import { computeGaps } from "../computeGaps.js";
import { computeSlope } from "../computeSlope.js";
import { computeSlotPeak } from "../computeSlotPeak.js";
import { computeUse } from "../computeUse.js";
import { countStarved } from "../countStarved.js";
import { engineSettings } from "../engineSettings.js";
import type { FleetSample } from "../fleetSample.js";
import { formatFigure } from "../formatFigure.js";
import type { MeasureOptions } from "../measureOptions.js";
import { planAccounts } from "../planAccounts.js";
import { readCounters } from "../readCounters.js";
import { readCpuMs } from "../readCpuMs.js";
import type { Scenario } from "../scenario.js";
import { sumMetric } from "../sumMetric.js";
import { waitMs } from "../waitMs.js";

interface FairnessRun {
    readonly plans: readonly AccountPlan[];
    readonly samples: readonly FleetSample[];
    readonly engines: readonly string[];
    readonly callsOpen: ReadonlyMap<number, number>;
    readonly cpuMs: number;
    readonly sentBytes: number;
    readonly receivedBytes: number;
    /** Highest horizon (H of the gap bound) of any pool at the end, in tokens per unit of share. */
    readonly horizon: number;
    readonly peak: ReturnType<typeof computeSlotPeak>;
    readonly crossRegionBytes: number | undefined;
    readonly wrongAnswers: number;
    readonly limitBreaches: number;
    readonly elapsedSeconds: number;
    /** Fraction of a core that the load generator used; near 1 it is the bottleneck. */
    readonly generatorCoreShare: number;
}

const DEFAULT_SECONDS = 30;
/** Skips the first seconds, in which queues are empty, slots are idle and daemons have just started. */
const WARM_UP_MS = 4_000;
/** Length of the run without coordination that shows what the requests alone cost; see `measureControlShare`. */
const REFERENCE_SECONDS = 8;
const PLAIN_SERVICE_MS = 100;
const ENGINES = 12;
const ENGINE_SLOTS = 8;
const PLAIN_SERVERS = 3;
const PLAIN_SLOTS = 8;
/** Levels of the aggregation tree below the root for up to five daemons a data centre in three regions. */
const TREE_DEPTH = 2;
const EXCHANGE_INTERVAL_MS = 500;
/** Counters whose changes give the byte rates and are logged to explain poor figures. */
const COUNTERS = [
    "peer_bytes_total",
    "demand_reports_total",
    "lease_events_total",
    "dispatch_decisions_total",
];

/** Measures the service gap while every account is backlogged. */
export const measureFairness: Scenario = async options => {
    const run = await runFairness(options, options.policy, options.durationSeconds ?? DEFAULT_SECONDS);
    const weights = Object.fromEntries(run.plans.map(plan => [plan.name, plan.weight]));
    const gaps = computeGaps(run.samples, weights);
    const plainRunning = (sample: FleetSample): number =>
        [...sample.running].reduce((sum, [name, count]) => sum + (run.engines.includes(name) ? 0 : count), 0);
    const use = computeUse(
        run.samples,
        run.engines,
        (sample, running) => (run.callsOpen.get(sample.atMs) ?? 0) - running - plainRunning(sample),
    );
    options.logProgress(`normalised service: ${describeServices(run.samples, weights)}`);
    const course = gaps.filter((_, index) => index % 8 === 0).map(point => Math.round(point.gap));
    options.logProgress(`gap every 8 samples: ${course.join(", ")}`);
    const tokensPerSecond = sumServed(run.samples) / run.elapsedSeconds;
    const formatRate = (bytes: number): number | undefined =>
        formatFigure(bytes / run.elapsedSeconds / options.instances, 0);
    return {
        policy: options.policy,
        seed: options.seed,
        instances: options.instances,
        accounts: options.accounts,
        maxGap: formatFigure(Math.max(0, ...gaps.map(point => point.gap)), 0),
        gapBound: formatFigure(computeBound(run, tokensPerSecond), 0),
        gapSlopePerSecond: formatFigure(computeSlope(gaps.map(point => [point.atSeconds, point.gap])), 1),
        utilisation: formatFigure(use.utilisation),
        idleWhileWaitingShare: formatFigure(use.idleWhileWaitingShare),
        starvedAccounts: countStarved(run.samples, Object.keys(weights)),
        limitBreaches: run.limitBreaches,
        sentBytesPerSecondPerDaemon: formatRate(run.sentBytes),
        receivedBytesPerSecondPerDaemon: formatRate(run.receivedBytes),
        horizon: formatFigure(run.horizon, 0),
        maxSlotsPerAccount: run.peak.slots,
        maxCost: run.peak.cost,
        controlCoreShare: await measureControlShare(options, run),
        crossRegionBytes: run.crossRegionBytes,
        wrongAnswers: run.wrongAnswers,
        tokensPerSecond: formatFigure(tokensPerSecond, 0),
        generatorCoreShare: formatFigure(run.generatorCoreShare),
        daemonCpuShare: formatFigure(run.cpuMs / run.elapsedSeconds / 1000 / options.instances),
    };
};

async function runFairness(
    options: MeasureOptions,
    policy: MeasureOptions["policy"],
    seconds: number,
): Promise<FairnessRun> {
    const random = createRandom(options.seed);
    const instances = Array.from({ length: options.instances }, (_, index) => `daemon-${index}`);
    const slots = ENGINES * ENGINE_SLOTS + PLAIN_SERVERS * PLAIN_SLOTS;
    const plans = planAccounts({ accounts: options.accounts, instances, slots, random });
    const fleet = await Fleet.create(createTafOptions({
        accounts: Object.fromEntries(plans.map(plan => [plan.name, plan.weight])),
        instances: options.instances,
        engines: ENGINES,
        engineSlots: ENGINE_SLOTS,
        plainServers: PLAIN_SERVERS,
        plainSlots: PLAIN_SLOTS,
        queueLimit: 5_000,
        fleet: {
            engine: engineSettings,
            plainService: { serviceMs: PLAIN_SERVICE_MS, loadLagMs: 200 },
            daemon: { policy, logLevel: "warn" },
            ...options.logDirectory === undefined ? {} : { logDirectory: options.logDirectory },
        },
    }));
    try {
        await waitForOrders(fleet, plans[0]?.name ?? "");
        options.logProgress(`${policy}: ${plans.reduce((sum, plan) => sum + plan.concurrency, 0)} callers`);
        const load = ClientLoad.create({ fleet, plans, random, wrongHints: true, orderShare: 0.5 });
        await waitMs(WARM_UP_MS);
        const startMs = Date.now();
        const generatorBefore = process.cpuUsage();
        const [cpuBefore, before] = [await readCpuMs(fleet), await readCounters(fleet, COUNTERS)];
        await waitMs(seconds * 1000);
        const elapsedSeconds = (Date.now() - startMs) / 1000;
        const { user, system } = process.cpuUsage(generatorBefore);
        const [cpuAfter, after] = [await readCpuMs(fleet), await readCounters(fleet, COUNTERS)];
        const changes = [...after].map(([key, value]) => [key, value - (before.get(key) ?? 0)] as const);
        const sumBytes = (direction: string): number =>
            changes.reduce(
                (sum, [key, value]) =>
                    sum + (/^peer_bytes_total/.test(key) && key.endsWith(`/${direction}`) ? value : 0),
                0,
            );
        const summaries = await fleet.targets.readSummaries();
        const samples = await collectSamples(fleet.targets);
        const arrivals = await Promise.all(fleet.targets.names.map(name => fleet.targets.readArrivals(name)));
        const endMs = startMs + elapsedSeconds * 1000;
        const refusals = fleet.targets.names.flatMap((name, index) =>
            (arrivals[index] ?? []).filter(arrival => arrival.ending === "refused")
                .map(arrival => `${name} ${arrival.startMs - startMs} ms`)
        );
        options.logProgress(`refused by targets: ${refusals.join(", ") || "none"}`);
        options.logProgress(JSON.stringify(Object.fromEntries(changes.filter(([, value]) => value !== 0))));
        const failures = new Map<string, number>();
        for (const { account, service, code, correct } of load.results) {
            if (!correct) {
                const key = `${account} ${service} ${code ?? ""}`;
                failures.set(key, (failures.get(key) ?? 0) + 1);
            }
        }
        options.logProgress(`failed calls: ${JSON.stringify(Object.fromEntries(failures))}`);
        const horizons = await Promise.all(
            fleet.daemons.map(name => fleet.readMetric(name, "baobabspread_horizon_tokens")),
        );
        for (const gauge of ["foreign_work_requests", "unused_leased_slots"]) {
            options.logProgress(`${gauge} at the end: ${await sumMetric(fleet, gauge) ?? "not served"}`);
        }
        const crossRegionBytes = await sumMetric(fleet, "cross_region_bytes_total");
        await load.stop(0);
        return {
            plans,
            samples: samples.filter(sample => sample.atMs >= startMs && sample.atMs <= endMs),
            engines: fleet.targets.names.filter(name => name.startsWith("engine")),
            callsOpen: load.callsOpen,
            cpuMs: cpuAfter - cpuBefore,
            sentBytes: sumBytes("sent"),
            receivedBytes: sumBytes("received"),
            horizon: Math.max(0, ...horizons.map(value => value ?? 0)),
            peak: computeSlotPeak(arrivals.flat(), startMs, endMs),
            crossRegionBytes,
            wrongAnswers: load.results.filter(result => result.verdict === "wrong").length,
            limitBreaches: summaries.reduce((sum, summary) => sum + summary.breaches, 0),
            elapsedSeconds,
            generatorCoreShare: (user + system) / 1_000_000 / elapsedSeconds,
        };
    }
    finally {
        await fleet.close();
    }
}

/** Computes the gap bound of design 3.1 with the observed m, Cmax and R and the H that the owners used. */
function computeBound(run: FairnessRun, tokensPerSecond: number): number {
    return computeGapBound({
        horizon: run.horizon,
        slotsPerAccount: run.peak.slots,
        tokensPerSecond,
        depth: TREE_DEPTH,
        exchangeIntervalMs: EXCHANGE_INTERVAL_MS,
        maxCost: run.peak.cost,
        minShare: 1,
    });
}

/** Measures the fraction of a core that a daemon uses beyond what the same tokens cost without coordination. */
async function measureControlShare(options: MeasureOptions, run: FairnessRun): Promise<number | undefined> {
    if (options.policy !== "fleet") {
        return undefined;
    }
    const reference = await runFairness(options, "local", REFERENCE_SECONDS);
    const costMs = reference.cpuMs / sumServed(reference.samples);
    const controlMs = run.cpuMs - costMs * sumServed(run.samples);
    return formatFigure(controlMs / 1000 / run.elapsedSeconds / options.instances, 4);
}

function describeServices(
    samples: readonly FleetSample[],
    weights: Readonly<Record<string, number>>,
): string {
    return Object.entries(weights).map(([account, weight]) => {
        const [first, last] = [samples[0], samples.at(-1)].map(sample =>
            sample?.tokensByAccount.get(account) ?? 0
        );
        return `${account} ${Math.round(((last ?? 0) - (first ?? 0)) / weight)}`;
    }).join(", ");
}

function sumServed(samples: readonly FleetSample[]): number {
    const sum = (sample: FleetSample | undefined): number =>
        [...sample?.tokensByAccount.values() ?? []].reduce((total, tokens) => total + tokens, 0);
    return sum(samples.at(-1)) - sum(samples[0]);
}
