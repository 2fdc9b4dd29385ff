import type { ServerResponse } from "node:http";
import type { RoutedRequest } from "../../../src/core/routing/routedRequest.js";
import { platformWireFormat } from "../../../src/platform/platformWireFormat.js";
import type { CallerExchange } from "../../../src/router/callerExchange.js";
import { CallerResponse } from "../../../src/router/callerResponse.js";
import type { ForwardAttempt } from "../../../src/router/forwardAttempt.js";
import { createLimiter } from "../createLimiter.js";
import { createTargetNotices } from "../createTargetNotices.js";
import { createTargetStarts } from "../createTargetStarts.js";
import { makeRequestMemory } from "./makeRequestMemory.js";

type Options = Parameters<typeof ForwardAttempt.create>[0];

/** Makes the options of an attempt to serve a stream, whose caller takes everything, at the time 0. */
export function makeAttemptOptions(
    request: RoutedRequest,
    options: Pick<Options, "grant" | "agent"> & Partial<Options>,
): Options {
    return {
        caller: {
            incoming: { method: "POST", url: "/" },
            head: { forwardedHeaders: ["Host", "h", "Request-Id", request.requestId] },
            request,
            body: undefined,
        } as unknown as CallerExchange,
        response: CallerResponse.create({
            response: { writeHead: () => undefined, write: () => true } as unknown as ServerResponse,
            wire: platformWireFormat,
            requestId: request.requestId,
        }),
        wire: platformWireFormat,
        memory: makeRequestMemory(1_000_000),
        limits: createLimiter(),
        notices: createTargetNotices(),
        targetStarts: createTargetStarts(),
        getNow: () => 0,
        getRunningTime: () => 0,
        watchesTarget: false,
        isBatching: () => false,
        runGuarded: handler => handler(),
        isListed: () => true,
        onWritten: () => undefined,
        onProgress: () => undefined,
        onFirstEvent: () => undefined,
        onPassed: () => undefined,
        onComplete: () => undefined,
        onFail: () => undefined,
        ...options,
    };
}
