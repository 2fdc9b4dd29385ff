import { RequestLimiter } from "../../core/limits/requestLimiter.js";
import { AccountUsage } from "../../core/routing/accountUsage.js";
import { CrashRecord } from "../../core/routing/crashRecord.js";
import { PromptLocations } from "../../core/routing/promptLocations.js";
import type { RoutedRequest } from "../../core/routing/routedRequest.js";
import { ServiceScheduler } from "../../core/routing/serviceScheduler.js";
import type { TargetDescriptor } from "../../core/routing/targetDescriptor.js";
import { TargetNotices } from "../../core/routing/targetNotices.js";
import { schedulerTuning } from "../../router/schedulerTuning.js";
import { formatFigure } from "../formatFigure.js";
import type { Scenario } from "../scenario.js";

const TARGETS = 90;
const PEERS = 3;
const WARM_UP = 2000;
const DECISIONS = 20_000;
const LOCALITY = { dataCentre: "a", region: "r" };
const REGIONS = new Map([["a", "r"]]);

/**
 * Measures the processor time of one decision on a target, with and without reported speeds: the least of `--trials` runs.
 * Elapsed time would grow with other load of the machine.
 */
export const measureDecision: Scenario = ({ trials }) => {
    const measure = (hasSpeeds: boolean): number =>
        Math.min(...Array.from({ length: trials }, () => measureUs(hasSpeeds)));
    return Promise.resolve({
        targets: TARGETS,
        "decision.cpu.us": formatFigure(measure(false)),
        "decision.speeds.cpu.us": formatFigure(measure(true)),
    });
};

/** Returns the mean processor time of a decision in microseconds. */
function measureUs(hasSpeeds: boolean): number {
    const scheduler = createScheduler();
    scheduler.setTargets(Array.from({ length: TARGETS }, (_, i) => makeTarget(i)), new Set(), 0);
    [...scheduler.targets.values()].forEach((target, i) => {
        for (let peer = 0; peer < PEERS; peer += 1) {
            target.setPeerLoad(String(peer), { inFlight: 1, pendingTokens: 100 * i, validUntil: 1e9 });
        }
        if (!hasSpeeds) {
            return;
        }
        const workTimeRatio = 1 + i / TARGETS;
        target.recordLoad({ runningRequests: 1, waitingRequests: 0, slots: 8, workTimeRatio }, 1);
        target.speed.recordSample(100 * workTimeRatio, 100, 1);
        for (let peer = 0; peer < 2 * PEERS; peer += 1) {
            target.adoptSpeed({ logRatio: Math.log(workTimeRatio) + peer / 10, observedAt: 1 }, 1);
        }
    });
    let started = process.cpuUsage();
    for (let i = 0; i < WARM_UP + DECISIONS; i += 1) {
        if (i === WARM_UP) {
            started = process.cpuUsage();
        }
        // Within the 2 s for which the observations of peers count.
        const now = 2 + i / DECISIONS * 1000;
        const grant = scheduler.tryGrant(REQUEST, new Set(), now);
        if (grant) {
            scheduler.release(grant, false, now);
        }
    }
    const { user, system } = process.cpuUsage(started);
    return (user + system) / DECISIONS;
}

function createScheduler(): ServiceScheduler {
    return ServiceScheduler.create({
        service: {
            name: "s",
            maxConnections: 100,
            warmupMs: 0,
            coldRequestsPerSecond: 0,
            shortestObjectiveMs: 400,
            engine: { slots: 8, memoryTokens: 100_000, tokenBytes: 100_000, linkMbps: 100_000 },
        },
        settings: {
            ...schedulerTuning,
            locality: LOCALITY,
            regionsByDataCentre: REGIONS,
            coldFactor: 1,
            coldSlack: 5,
        },
        usage: AccountUsage.create(4000),
        promptLocations: PromptLocations.create(),
        crashRecord: CrashRecord.create({ onBlockedChanged: () => undefined, getTrialDelayMs: () => 0 }),
        limits: RequestLimiter.create({
            instance: "self",
            locality: LOCALITY,
            regionsByDataCentre: REGIONS,
            startedAt: 0,
            onLimitChanged: () => undefined,
            onUnusualLimit: () => undefined,
        }),
        notices: TargetNotices.create({ onNotice: () => undefined, onUnusual: () => undefined }),
        getRandom: Math.random,
        getTokensPerSecond: () => 0,
        getColdShare: () => undefined,
        mayBegin: () => true,
        mayGoOn: () => true,
    });
}

function makeTarget(index: number): TargetDescriptor {
    return {
        id: `i-${index}`,
        service: "s",
        address: `10.0.0.${index}:80`,
        dataCentre: LOCALITY.dataCentre,
        slots: 8,
        isDraining: false,
        coldUntil: 0,
        startedAtMs: 0,
        sequence: 0,
        version: "v1",
    };
}

const REQUEST: RoutedRequest = {
    requestId: "1",
    route: {
        name: "r",
        host: "h",
        pathPrefix: "/",
        kind: "stream",
        timeoutMs: 10_000,
        objectiveMs: 400,
        backends: [{ service: "s", weight: 1 }],
        maxAttempts: 2,
        isPublic: false,
        isResumable: true,
        regions: [],
    },
    service: "s",
    account: "a",
    regions: [],
    promptTokens: 1000,
    outputTokens: 10,
    prompt: [{ id: "shared", tokens: 800 }, { id: "own", tokens: 200 }],
    receivedAt: 0,
    objectiveDeadline: 400,
    deadline: 10_000,
};
