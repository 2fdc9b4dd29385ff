import type { Agent } from "node:http";
import type { RequestLimiter } from "../core/limits/requestLimiter.js";
import type { TargetGrant } from "../core/routing/targetGrant.js";
import type { TargetNotices } from "../core/routing/targetNotices.js";
import type { TargetStarts } from "../core/routing/targetStarts.js";
import type { CallerExchange } from "./callerExchange.js";
import type { CallerResponse } from "./callerResponse.js";
import type { FailureKind } from "./failureKind.js";
import type { RequestMemory } from "./requestMemory.js";
import type { ResponseHead } from "./responseHead.js";
import type { WireFormat } from "./wireFormat.js";

/** What one attempt to serve a request depends on. */
export interface ForwardAttemptOptions {
    readonly grant: TargetGrant;
    readonly caller: CallerExchange;
    readonly response: CallerResponse;
    readonly wire: WireFormat;
    readonly limits: RequestLimiter;
    readonly notices: TargetNotices;
    readonly targetStarts: TargetStarts;
    readonly agent: Agent;
    readonly memory: RequestMemory;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** The same without the time in which the process was suspended. */
    readonly getRunningTime: () => number;
    /** True while the event loop is delayed or busy, so that events are batched before they are forwarded. */
    readonly isBatching: () => boolean;
    /** Runs a handler; an unexpected error in it ends the request. */
    readonly runGuarded: (handler: () => void) => void;
    /** Whether other responses of the target tell that it is unresponsive. */
    readonly watchesTarget: boolean;
    /** Returns whether the target is still listed as one that stays. */
    readonly isListed: () => boolean;
    /** Called before a byte of the request is written to the target. */
    readonly onWritten: () => void;
    /** Called before anything of the response is used. */
    readonly onProgress: () => void;
    readonly onFirstEvent: () => void;
    /** Called before a response that is no stream is passed on before its end: no other one can take its place. */
    readonly onPassed: () => void;
    /** Called when the complete response has arrived. */
    readonly onComplete: (head: ResponseHead) => void;
    readonly onFail: (kind: FailureKind, reason: string) => void;
}
