import { Agent } from "node:http";
import { createRandom } from "../standIns/client/createRandom.js";
import { buildCallerHeaders } from "../testing/platform/buildCallerHeaders.js";
import { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { sendCaller } from "../testing/sendCaller.js";
import { BASELINE_FAULT_SHARE } from "./baselineFaultShare.js";
import { createFaultSource } from "./createFaultSource.js";
import { soakFaults } from "./soakFaults.js";
import { SoakObserver } from "./soakObserver.js";

interface SoakOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly instances: number;
    readonly callers: number;
}

interface SoakResult {
    readonly seed: number;
    readonly sent: number;
    readonly served: number;
    readonly servedAfter: number;
    readonly faults: readonly string[];
    /** Targets that crashed on requests. */
    readonly crashes: number;
    readonly violations: readonly string[];
}

const ROUTES = ["stream", "once", "safe", "unsafe"] as const;
/** Largest number of injected faults at the same time. */
const MAX_CONCURRENT_FAULTS = 3;
const MAX_FAULT_PAUSE_MS = 300;
const CALLER_TIMEOUT_MS = 3000;
/** Number of distinct shared prompt prefixes; they repeat, so that prefix-cache affinity matters. */
const SHARED_PREFIXES = 5;
const CALLER_PAUSE_MS = 20;
/** The documentation gives deployments 12 s to serve again after the last fault; the small fleet gets the same. */
const RECOVERY_MS = 12_000;
const RECOVERY_REQUESTS = 20;

/** Runs a fleet of real processes under seeded random faults and checks the guarantees to callers and targets. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const fleet = await CooperativeFleet.create({
        instances: options.instances,
        engines: 4,
        plainTargets: 3,
        revocationMs: 5000,
        stopTimeoutSeconds: 4,
    });
    const observer = SoakObserver.create();
    fleet.targets.forEach(({ target }, i) =>
        target.setFault(createFaultSource(options.seed + i, BASELINE_FAULT_SHARE))
    );
    const deadline = performance.now() + options.durationMs;
    const faultNames: string[] = [];
    const wait = (ms: number): Promise<void> =>
        new Promise(resolve => setTimeout(resolve, Math.max(0, Math.min(ms, deadline - performance.now()))));
    try {
        const injectors = Array.from({ length: MAX_CONCURRENT_FAULTS }, async (_, injector) => {
            const random = createRandom(options.seed * MAX_CONCURRENT_FAULTS + injector);
            while (performance.now() < deadline) {
                await wait(random() * MAX_FAULT_PAUSE_MS);
                const fault = soakFaults[Math.floor(random() * soakFaults.length)];
                faultNames.push(fault?.name ?? "");
                await fault?.inject(fleet, random, wait);
            }
        });
        const callers = Array.from(
            { length: options.callers },
            (_, i) => runCaller(fleet, observer, i, deadline),
        );
        await Promise.all([...injectors, ...callers]);
        const servedAfter = await countServed(fleet, observer);
        observer.checkTargets(fleet);
        return {
            seed: options.seed,
            sent: observer.sent,
            served: observer.served,
            servedAfter,
            faults: faultNames,
            crashes: fleet.crashes.filter(({ body }) => body !== "").length,
            violations: [
                ...observer.violations,
                ...(servedAfter < RECOVERY_REQUESTS / 4
                    ? [`only ${servedAfter} requests served after the faults`]
                    : []),
            ],
        };
    }
    finally {
        await fleet.close();
    }
}

/** Sends requests one after another over keep-alive connections until the deadline. */
async function runCaller(
    fleet: CooperativeFleet,
    observer: SoakObserver,
    caller: number,
    deadline: number,
): Promise<void> {
    const agent = new Agent({ keepAlive: true });
    for (let i = 0; performance.now() < deadline; i += 1) {
        await sendOne(fleet, observer, `c${caller}-${i}`, i + caller, agent);
        await new Promise(resolve => setTimeout(resolve, CALLER_PAUSE_MS));
    }
    agent.destroy();
}

async function sendOne(
    fleet: CooperativeFleet,
    observer: SoakObserver,
    requestId: string,
    turn: number,
    agent: Agent,
): Promise<boolean> {
    const route = ROUTES[turn % ROUTES.length] ?? "safe";
    const instance = fleet.instances[Math.floor(turn / ROUTES.length) % fleet.instances.length];
    if (!instance) {
        return false;
    }
    const isStream = route === "stream" || route === "once";
    const sentAt = performance.now();
    const result = await sendCaller(`${fleet.getUrls(instance).callers}/${route}/x`, {
        method: "POST",
        agent,
        body: "question",
        headers: buildCallerHeaders({
            requestId,
            patienceMs: CALLER_TIMEOUT_MS,
            ...(isStream ? { engine: { key: fleet.key, sharedPart: `s${turn % SHARED_PREFIXES}` } } : {}),
        }),
    });
    observer.record({ requestId, route, sentAt, endedAt: performance.now() }, result);
    return result.status === 200 && result.isWhole;
}

/** Sends batches until one is served whole or the recovery time has passed; returns the last batch's served count. */
async function countServed(fleet: CooperativeFleet, observer: SoakObserver): Promise<number> {
    const agent = new Agent({ keepAlive: true });
    const deadline = performance.now() + RECOVERY_MS;
    let served = 0;
    for (let round = 0; served < RECOVERY_REQUESTS && performance.now() < deadline; round += 1) {
        const results = await Promise.all(
            Array.from(
                { length: RECOVERY_REQUESTS },
                (_, i) => sendOne(fleet, observer, `r${round}-${i}`, i, agent),
            ),
        );
        served = results.filter(Boolean).length;
    }
    agent.destroy();
    return served;
}
