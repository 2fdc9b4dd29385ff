import { AdmissionPressure } from "../core/admission/admissionPressure.js";
import { AccountUsage } from "../core/routing/accountUsage.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import { PromptLocations } from "../core/routing/promptLocations.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import { createCrashDetector } from "./createCrashDetector.js";
import { createCrashRecord } from "./createCrashRecord.js";
import { createRequestLimiter } from "./createRequestLimiter.js";
import { createTargetNotices } from "./createTargetNotices.js";
import { createTargetStarts } from "./createTargetStarts.js";
import type { RouterOptions } from "./routerOptions.js";
import type { RoutingState } from "./routingState.js";
import { RouterSpill } from "./spill/routerSpill.js";
import { StreamOrigins } from "./streamOrigins.js";

interface RoutingStateCallbacks {
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly countInstances: () => number;
    /** Lists the live instances, with this one. */
    readonly listMembers: () => readonly MemberRecord[];
    /** Sends a message to the instance at a host. */
    readonly send: (message: unknown, host: string) => void;
    /** Called when a response has ended with its connection to the target. */
    readonly onBroken: (target: TargetDescriptor) => void;
}

/** Time window of the fair shares of client accounts (quotaWindowS of the deployments). */
const USAGE_WINDOW_MS = 4000;

/** Creates the empty state of an instance that started at a monotonic time in milliseconds. */
export function createRoutingState(
    { settings, log, metrics }: Pick<RouterOptions, "settings" | "log" | "metrics">,
    startedAt: number,
    callbacks: RoutingStateCallbacks,
): RoutingState {
    const crashRecord = createCrashRecord(settings.instance, log, callbacks.countInstances);
    return {
        pressure: AdmissionPressure.create((isShort, unmetPerSecond) =>
            log.write("capacity-short-changed", { isShort, unmetPerSecond: Math.round(unmetPerSecond) })
        ),
        usage: AccountUsage.create(USAGE_WINDOW_MS),
        promptLocations: PromptLocations.create(),
        crashRecord,
        crashDetector: createCrashDetector(crashRecord, log, callbacks.onBroken),
        limits: createRequestLimiter(settings, log, startedAt),
        notices: createTargetNotices(log, callbacks.getNow),
        targetStarts: createTargetStarts(log),
        spill: RouterSpill.create({ settings, log, metrics, startedAt, ...callbacks }),
        streamOrigins: StreamOrigins.create({ settings, log, ...callbacks }),
    };
}
