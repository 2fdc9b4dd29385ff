import type { ServerResponse } from "node:http";
import { planRequestEnd } from "../core/routing/planRequestEnd.js";
import { endResponse } from "./endResponse.js";
import type { LogSink } from "./logSink.js";
import type { WireFormat } from "./wireFormat.js";

interface RefusalOptions {
    readonly log: Pick<LogSink, "write">;
    readonly wire: WireFormat;
    readonly onRefused: (reason: string) => void;
}

interface Refusal {
    readonly requestId: string | undefined;
    readonly cause: Parameters<typeof planRequestEnd>[0]["cause"];
    readonly reason: string;
    readonly retryAfterMs: number | undefined;
    readonly account: string | undefined;
}

/** Ends a request that no target has got, and logs why. */
export function refuseRequest(
    { log, wire, onRefused }: RefusalOptions,
    response: ServerResponse,
    { requestId, cause, reason, retryAfterMs, account }: Refusal,
): void {
    const isStarted = response.headersSent;
    const end = planRequestEnd({ cause, isStarted, mayHaveRun: false, retryAfterMs });
    const status = end.kind === "respond" ? end.status : undefined;
    log.write("request-refused", { request: requestId, status, reason, retryAfterMs, account });
    onRefused(reason);
    endResponse(response, wire, requestId, end);
}
