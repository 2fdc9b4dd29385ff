import type { FinishedRequest } from "../../core/request/finishedRequest.js";
import type { DaemonContext } from "../daemonContext.js";

/** Records a finished request in the metrics, the decision log and the log. */
export function recordFinishedRequest(
    context: Pick<DaemonContext, "logger" | "metrics" | "recordDecision">,
    finished: FinishedRequest,
): void {
    const { account, error, requestId, result, service, totalMs } = finished;
    const reason = error?.code ?? "completed";
    if (error) {
        context.metrics.count("refusals_total", { reason: error.code, outcome: error.outcome });
    }
    if (result) {
        context.metrics.observeLatency("total", totalMs);
    }
    if (!error && !result) {
        return;
    }
    context.recordDecision({
        timeMs: Date.now(),
        kind: error ? "refused" : "completed",
        reason,
        requestId,
        ...(account === undefined ? {} : { account }),
        ...(service === undefined ? {} : { service }),
        ...(result
            ? { target: result.target, fields: { cost: result.cost, attempts: result.attempts } }
            : {}),
    });
    const level = error?.code === "internal-error" ? "error" : "info";
    // winston drops a line of a disabled level only after it has passed through its streams.
    if (!context.logger.isLevelEnabled(level)) {
        return;
    }
    context.logger.log(level, "request-finished", {
        requestId,
        account,
        service,
        target: result?.target,
        status: result?.status,
        outcome: error?.outcome ?? "run",
        reason,
        detail: error?.message,
        ms: Math.round(totalMs),
    });
}
