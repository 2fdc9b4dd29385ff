import type { StreamOrigin } from "../streams/streamOrigin.js";
import type { PromptPart } from "./promptPart.js";
import type { RequestFingerprint } from "./requestFingerprint.js";
import type { RouteRule } from "./routeRule.js";
import type { TargetDescriptor } from "./targetDescriptor.js";

/** A request with its route, service and client account, as the scheduler sees it. */
export interface RoutedRequest {
    readonly requestId: string;
    readonly route: RouteRule;
    readonly service: string;
    /** Name of the client account, empty on public routes. */
    readonly account: string;
    /** Regions in which the request may be served; empty if all may. */
    readonly regions: readonly string[];
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly prompt: readonly PromptPart[];
    /** Bytes of the body; absent until it has been read. */
    readonly bodyBytes?: number;
    /** Recognises the request when it comes again; absent until its body has been read. */
    readonly fingerprint?: RequestFingerprint;
    /** Identifier of the caller's attempt that brings the first event of the stream. */
    readonly streamId?: string;
    /** Last event that the caller has got of a stream that it takes up; absent for a new stream. */
    readonly resumesAfter?: string;
    /** Where a stream began that this request goes on with; absent while it may begin at any version. */
    readonly origin?: Pick<StreamOrigin, "service"> & Pick<TargetDescriptor, "version">;
    /** Time in milliseconds for which connections waited when this one was accepted; absent unless the request is the first on it. */
    readonly acceptWaitMs?: number | undefined;
    /** Whether a busy instance has relayed its connection to this one. */
    readonly isRelayed?: boolean;
    /**
     * Time in milliseconds for which it was held on its connection, until its turn or until it was known whether its caller still
     * reads; absent if it was not.
     */
    readonly heldMs?: number;
    /** Monotonic times in milliseconds. */
    readonly receivedAt: number;
    /** Time by which the response, or its first event, meets the latency objective. */
    readonly objectiveDeadline: number;
    /** Time by which the caller must have the complete response. */
    readonly deadline: number;
}
