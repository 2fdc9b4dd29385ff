import { Agent } from "node:http";
import { createRandom } from "../standIns/client/createRandom.js";
import { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { BASELINE_FAULT_SHARE } from "./baselineFaultShare.js";
import { createFaultSource } from "./createFaultSource.js";
import { describeRuns } from "./describeRuns.js";
import { findUnservingInstances } from "./findUnservingInstances.js";
import { pickItem } from "./pickItem.js";
import { runCalmOverload } from "./runCalmOverload.js";
import { runCalmRestart } from "./runCalmRestart.js";
import { runCalmResumptions } from "./runCalmResumptions.js";
import { runCalmSilence } from "./runCalmSilence.js";
import { sendSoakRequest } from "./sendSoakRequest.js";
import type { SoakFault } from "./soakFault.js";
import { soakFaults } from "./soakFaults.js";
import { SoakObserver } from "./soakObserver.js";
import type { SoakViolation } from "./soakViolation.js";

interface SoakOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly instances: number;
    readonly callers: number;
    /** @default all */
    readonly faults?: readonly SoakFault[];
}

interface DescribedViolation {
    readonly rule: SoakViolation["rule"];
    /** What was seen of which request, and the runs of the request at targets. */
    readonly text: string;
}

interface SoakResult {
    readonly seed: number;
    readonly sent: number;
    readonly served: number;
    readonly servedAfter: number;
    /** Requests without an answer or a refusal, also those that an injected fault explains. */
    readonly unanswered: number;
    /** Requests without a byte of a response, by the cause that explains them. */
    readonly causes: SoakObserver["causes"];
    readonly faults: readonly string[];
    /** Targets that crashed on requests. */
    readonly crashes: number;
    /** Streams that callers took up at calm instances while two targets of their version served. */
    readonly resumptions: number;
    readonly violations: readonly DescribedViolation[];
}

const ROUTES = ["stream", "once", "safe", "unsafe"] as const;
/** Largest number of injected faults at the same time. */
const MAX_CONCURRENT_FAULTS = 3;
const MAX_FAULT_PAUSE_MS = 300;
/** Fraction of the streams after whose first events the caller's own connection breaks, so that it takes them up. */
const BROKEN_SHARE = 0.1;
const MAX_BREAK_AFTER = 8;
const CALLER_PAUSE_MS = 20;
/** The documentation gives deployments 12 s to serve again after the last fault; the small fleet gets the same. */
const RECOVERY_MS = 12_000;
const RECOVERY_REQUESTS = 20;
const SPARE_TARGETS = 2;
/** Every third response of a target ends with its connection. */
const UNFRAMED_EVERY = 3;

/** Runs a fleet of real processes under seeded random faults and checks the guarantees to callers and targets. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const fleet = await CooperativeFleet.create({
        instances: options.instances,
        engines: 6,
        plainTargets: 3,
        revocationMs: 5000,
        stopTimeoutSeconds: 4,
        versions: ["v1", "v2"],
        unframedEvery: UNFRAMED_EVERY,
    });
    for (let i = 0; i < SPARE_TARGETS; i += 1) {
        await fleet.addTarget("spare", "v1");
    }
    const observer = SoakObserver.create(fleet);
    fleet.targets.forEach(({ target }, i) =>
        target.setFault(createFaultSource(options.seed + i, BASELINE_FAULT_SHARE))
    );
    const deadline = performance.now() + options.durationMs;
    const { faults = soakFaults } = options;
    const faultNames: string[] = [];
    const wait = (ms: number): Promise<void> =>
        new Promise(resolve => setTimeout(resolve, Math.max(0, Math.min(ms, deadline - performance.now()))));
    try {
        const injectors = Array.from({ length: MAX_CONCURRENT_FAULTS }, async (_, injector) => {
            const random = createRandom(options.seed * MAX_CONCURRENT_FAULTS + injector);
            while (performance.now() < deadline) {
                await wait(random() * MAX_FAULT_PAUSE_MS);
                const fault = pickItem(faults, random);
                faultNames.push(fault.name);
                await fault.inject(fleet, random, wait, observer);
                await fleet.recoverInstances();
            }
        });
        const callers = Array.from(
            { length: options.callers },
            (_, i) => runCaller(fleet, observer, i, deadline, createRandom(options.seed + i)),
        );
        await Promise.all([...injectors, ...callers]);
        const ended = fleet.instances.filter(({ process }) => !process.running);
        await fleet.recoverInstances();
        const servedAfter = await countServed(fleet, observer);
        const unserving = await findUnservingInstances(fleet, RECOVERY_MS);
        await runCalmResumptions(fleet, observer);
        await runCalmSilence(fleet, observer);
        await runCalmRestart(fleet, observer);
        observer.checkTargets();
        const overload = await runCalmOverload(fleet, createRandom(options.seed));
        return {
            seed: options.seed,
            sent: observer.sent,
            served: observer.served,
            servedAfter,
            unanswered: observer.unanswered,
            causes: observer.causes,
            faults: faultNames,
            crashes: fleet.crashes.filter(({ body }) => body !== "").length,
            resumptions: observer.resumptions,
            violations: [
                ...observer.violations,
                ...(servedAfter < RECOVERY_REQUESTS / 4
                    ? [createOther("requests", `only ${servedAfter} served after the faults`)]
                    : []),
                ...ended.map(({ host }) => createFault(host, "the process does not run after the faults")),
                ...fleet.processFailures.map(({ host, text }) => createFault(host, text)),
                ...unserving,
                ...overload,
            ].map(violation => describeViolation(fleet, violation)),
        };
    }
    finally {
        await fleet.close();
    }
}

function createOther(subject: string, text: string): SoakViolation {
    return { rule: "other", subject, text };
}

function createFault(subject: string, text: string): SoakViolation {
    return { rule: "fault", subject, text };
}

function describeViolation(
    fleet: CooperativeFleet,
    { rule, subject, text }: SoakViolation,
): DescribedViolation {
    const runs = describeRuns(fleet, subject);
    return { rule, text: `${subject}: ${text}${runs ? ` [${runs}]` : ""}` };
}

/** Sends requests one after another over keep-alive connections until the deadline. */
async function runCaller(
    fleet: CooperativeFleet,
    observer: SoakObserver,
    caller: number,
    deadline: number,
    random: () => number,
): Promise<void> {
    const agent = new Agent({ keepAlive: true });
    for (let i = 0; performance.now() < deadline; i += 1) {
        const isBroken = random() < BROKEN_SHARE;
        const breakAfter = 1 + Math.floor(random() * MAX_BREAK_AFTER);
        await sendSoakRequest(fleet, observer, {
            requestId: `c${caller}-${i}`,
            route: ROUTES[(i + caller) % ROUTES.length] ?? "safe",
            turn: Math.floor((i + caller) / ROUTES.length),
            agent,
            ...(isBroken ? { breakAfter } : {}),
        });
        await new Promise(resolve => setTimeout(resolve, CALLER_PAUSE_MS));
    }
    agent.destroy();
}

/** Sends batches until one is served whole or the recovery time has passed; returns the last batch's served count. */
async function countServed(fleet: CooperativeFleet, observer: SoakObserver): Promise<number> {
    const agent = new Agent({ keepAlive: true });
    const deadline = performance.now() + RECOVERY_MS;
    let served = 0;
    for (let round = 0; served < RECOVERY_REQUESTS && performance.now() < deadline; round += 1) {
        const results = await Promise.all(
            Array.from({ length: RECOVERY_REQUESTS }, (_, i) =>
                sendSoakRequest(fleet, observer, {
                    requestId: `r${round}-${i}`,
                    route: ROUTES[i % ROUTES.length] ?? "safe",
                    turn: Math.floor(i / ROUTES.length),
                    agent,
                })),
        );
        served = results.filter(Boolean).length;
    }
    agent.destroy();
    return served;
}
