import { createRandom } from "../../standIns/client/createRandom.js";
import { createTafOptions } from "../../testing/createTafOptions.js";
import { Fleet } from "../../testing/fleet.js";
import { waitForOrders } from "../../testing/waitForOrders.js";
import type { AccountPlan } from "../accountPlan.js";
import { answerLength } from "../answerLength.js";
import { ClientLoad } from "../clientLoad.js";
import { collectSamples } from "../collectSamples.js";
import { computeExpectedGapBound } from "../computeExpectedGapBound.js";
import { computeGaps } from "../computeGaps.js";
import { computeSlope } from "../computeSlope.js";
import { computeUse } from "../computeUse.js";
import { countStarved } from "../countStarved.js";
import { engineSettings } from "../engineSettings.js";
import type { FleetSample } from "../fleetSample.js";
import { formatFigure } from "../formatFigure.js";
import type { MeasureOptions } from "../measureOptions.js";
import { planAccounts } from "../planAccounts.js";
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
    readonly controlBytes: number | undefined;
    readonly crossRegionBytes: number | undefined;
    readonly wrongAnswers: number;
    readonly limitBreaches: number;
    readonly elapsedSeconds: number;
    /** Part of a core that the load generator used; near 1 it is the bottleneck. */
    readonly generatorCoreShare: number;
}

const DEFAULT_SECONDS = 30;
/** Requests of the first seconds find empty queues, idle slots and daemons that have just started. */
const WARM_UP_MS = 4_000;
/** Run without coordination that shows what the requests alone cost, for the control share. */
const REFERENCE_SECONDS = 8;
const PLAIN_SERVICE_MS = 100;
const ENGINES = 12;
const ENGINE_SLOTS = 8;
const PLAIN_SERVERS = 3;
const PLAIN_SLOTS = 8;
const REQUEST_COST = 20;
/** Words of the prompt of each call. */
const PROMPT_TOKENS = 5;

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
    const bytes = run.controlBytes;
    return {
        policy: options.policy,
        seed: options.seed,
        instances: options.instances,
        accounts: options.accounts,
        maxGap: formatFigure(Math.max(0, ...gaps.map(point => point.gap)), 0),
        gapBound: formatFigure(computeBound(), 0),
        gapSlopePerSecond: formatFigure(computeSlope(gaps.map(point => [point.atSeconds, point.gap])), 1),
        utilisation: formatFigure(use.utilisation),
        idleWhileWaitingShare: formatFigure(use.idleWhileWaitingShare),
        starvedAccounts: countStarved(run.samples, Object.keys(weights)),
        limitBreaches: run.limitBreaches,
        controlBytesPerSecondPerDaemon: bytes === undefined
            ? undefined
            : formatFigure(bytes / run.elapsedSeconds / options.instances, 0),
        controlCoreShare: await measureControlShare(options, run),
        crossRegionBytes: run.crossRegionBytes,
        wrongAnswers: run.wrongAnswers,
        tokensPerSecond: formatFigure(sumServed(run.samples) / run.elapsedSeconds, 0),
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
        const [cpuBefore, bytesBefore] = [await readCpuMs(fleet), await sumMetric(fleet, "peer_bytes_total")];
        await waitMs(seconds * 1000);
        const elapsedSeconds = (Date.now() - startMs) / 1000;
        const { user, system } = process.cpuUsage(generatorBefore);
        const [cpuAfter, bytesAfter] = [await readCpuMs(fleet), await sumMetric(fleet, "peer_bytes_total")];
        const summaries = await fleet.targets.readSummaries();
        const samples = await collectSamples(fleet.targets);
        const endMs = startMs + elapsedSeconds * 1000;
        const crossRegionBytes = await sumMetric(fleet, "cross_region_bytes_total");
        await load.stop(0);
        return {
            plans,
            samples: samples.filter(sample => sample.atMs >= startMs && sample.atMs <= endMs),
            engines: fleet.targets.names.filter(name => name.startsWith("engine")),
            callsOpen: load.callsOpen,
            cpuMs: cpuAfter - cpuBefore,
            controlBytes: bytesAfter === undefined ? undefined : bytesAfter - (bytesBefore ?? 0),
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

function computeBound(): number {
    const plainRate = PLAIN_SERVERS * PLAIN_SLOTS * REQUEST_COST * 1000 / PLAIN_SERVICE_MS;
    const engineRate = ENGINES * ENGINE_SLOTS * 1000 / engineSettings.tokenIntervalMs;
    return computeExpectedGapBound({
        slots: ENGINES * ENGINE_SLOTS + PLAIN_SERVERS * PLAIN_SLOTS,
        tokensPerSecond: engineRate + plainRate,
        depth: 2,
        maxCost: answerLength.maxTokens + PROMPT_TOKENS,
        minShare: 1,
    });
}

/** Part of a core that a daemon uses beyond what the same tokens cost without coordination. */
async function measureControlShare(options: MeasureOptions, run: FairnessRun): Promise<number | undefined> {
    if (options.policy !== "fleet") {
        return undefined;
    }
    const reference = await runFairness(options, "local", REFERENCE_SECONDS);
    const costMs = reference.cpuMs / sumServed(reference.samples);
    const controlMs = run.cpuMs - costMs * sumServed(run.samples);
    return formatFigure(controlMs / 1000 / run.elapsedSeconds / options.instances, 4);
}

function sumServed(samples: readonly FleetSample[]): number {
    const sum = (sample: FleetSample | undefined): number =>
        [...sample?.tokensByAccount.values() ?? []].reduce((total, tokens) => total + tokens, 0);
    return sum(samples.at(-1)) - sum(samples[0]);
}
