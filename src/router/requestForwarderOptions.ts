import type { RequestLimiter } from "../core/limits/requestLimiter.js";
import type { CrashDetector } from "../core/routing/crashDetector.js";
import type { CrashRecord } from "../core/routing/crashRecord.js";
import type { ServiceScheduler } from "../core/routing/serviceScheduler.js";
import type { SlidingRetryBudget } from "../core/routing/slidingRetryBudget.js";
import type { TargetNotices } from "../core/routing/targetNotices.js";
import type { TargetStarts } from "../core/routing/targetStarts.js";
import type { CallerExchange } from "./callerExchange.js";
import type { ErrorBoundary } from "./errorBoundary.js";
import type { LogSink } from "./logSink.js";
import type { RequestMemory } from "./requestMemory.js";
import type { RouterSpill } from "./spill/routerSpill.js";
import type { StreamOrigins } from "./streamOrigins.js";
import type { TargetAgents } from "./targetAgents.js";
import type { WireFormat } from "./wireFormat.js";

/** Collaborators of the forwarder of one request. */
export interface RequestForwarderOptions {
    readonly exchange: CallerExchange;
    readonly scheduler: ServiceScheduler;
    readonly crashRecord: CrashRecord;
    readonly crashDetector: CrashDetector;
    readonly limits: RequestLimiter;
    readonly notices: TargetNotices;
    readonly targetStarts: TargetStarts;
    readonly streamOrigins: StreamOrigins;
    readonly retryBudget: SlidingRetryBudget;
    readonly targetAgents: TargetAgents;
    readonly wire: WireFormat;
    readonly log: LogSink;
    readonly errorBoundary: ErrorBoundary;
    readonly memory: RequestMemory;
    /** Absent if requests leave their data centre by the score alone. */
    readonly spill?: RouterSpill | undefined;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** The same without the time in which the process was suspended. */
    readonly getRunningTime: () => number;
    readonly isBatching: () => boolean;
    readonly onEnd: (outcome: string, ms: number) => void;
}
