import { AdmissionPressure } from "../../../src/core/admission/admissionPressure.js";
import type { LimitGate } from "../../../src/core/limits/limitGate.js";
import { AccountUsage } from "../../../src/core/routing/accountUsage.js";
import { PromptLocations } from "../../../src/core/routing/promptLocations.js";
import { ServiceScheduler } from "../../../src/core/routing/serviceScheduler.js";
import type { TargetCandidate } from "../../../src/core/routing/targetCandidate.js";
import type { TargetDescriptor } from "../../../src/core/routing/targetDescriptor.js";
import type { SpillInputs } from "../../../src/core/spill/spillInputs.js";
import { createCrashRecord } from "../createCrashRecord.js";
import { createLimiter } from "../createLimiter.js";
import { createTargetNotices } from "../createTargetNotices.js";

const WINDOW_MS = 4000;

/** Creates the scheduler of the service `s` in data centre `a`, without targets. */
export function createScheduler(
    tokensPerSecond = 0,
    getColdShare: () => TargetCandidate["coldShare"] = () => undefined,
    promptLocations = PromptLocations.create(),
    crashRecord = createCrashRecord(),
    limits: LimitGate = createLimiter(),
    notices = createTargetNotices(),
    mayBegin: (target: TargetDescriptor) => boolean = () => true,
    mayGoOn: (target: TargetDescriptor) => boolean = () => true,
    getRandom: () => number = () => 0,
    spill?: SpillInputs,
    usesReservations?: (service: string) => boolean,
): { scheduler: ServiceScheduler; usage: AccountUsage; } {
    const usage = AccountUsage.create(WINDOW_MS);
    const scheduler = ServiceScheduler.create({
        service: {
            name: "s",
            maxConnections: 100,
            warmupMs: 3000,
            coldRequestsPerSecond: 13,
            shortestObjectiveMs: 400,
            engine: { slots: 4, memoryTokens: 100_000, tokenBytes: 100_000, linkMbps: 100_000 },
        },
        settings: {
            locality: { dataCentre: "a", region: "r" },
            regionsByDataCentre: new Map([["a", "r"], ["b", "s"]]),
            priorTokensPerMs: 50,
            queueObjectiveShare: 0.5,
            overShareObjectiveShare: 0.125,
            coldFactor: 1.5,
            coldSlack: 5,
            dataCentreDelayMs: 1,
            regionDelayMs: 20,
        },
        usage,
        promptLocations,
        crashRecord,
        limits,
        notices,
        getRandom,
        getTokensPerSecond: () => tokensPerSecond,
        pressure: AdmissionPressure.create(),
        getColdShare,
        mayBegin,
        mayGoOn,
        spill,
        usesReservations,
    });
    return { scheduler, usage };
}
