import type { LeaseTimings } from "./leaseTimings.js";
import type { LoadReport } from "./loadReport.js";
import type { LoadState } from "./loadState.js";

/**
 * Advances the slow start of a target. A new epoch, a load report timeout or a change from `warm` to `cold` sets its
 * load limit to at most `coldLimit`. Each further report, also of a cold target, at most doubles the limit, up to the
 * reported value. A report that may have been measured before a response lowered the limit does not raise it.
 *
 * @param requestedAt Monotonic time in milliseconds at which the report was requested.
 */
export function applyLoadReport(
    state: LoadState | undefined,
    report: LoadReport,
    requestedAt: number,
    coldLimit: number,
    timings: LeaseTimings,
): LoadState {
    if (state && report.epoch === state.report.epoch && report.measuredAtMs === state.report.measuredAtMs) {
        // A repeated measurement says nothing new about the load.
        return state;
    }
    const isContinuous = state?.report.epoch === report.epoch
        && requestedAt - state.requestedAt <= timings.loadReportTimeoutMs
        && !(report.state === "cold" && state.report.state === "warm");
    const isOutdated = requestedAt - timings.loadReportAgeMs < (state?.limitedAt ?? Number.NEGATIVE_INFINITY);
    const raisedLimit = isOutdated ? state?.limit ?? 0 : Math.max(1, (state?.limit ?? 0) * 2);
    const ceiling = isContinuous ? raisedLimit : coldLimit;
    return {
        report,
        limit: Math.max(0, Math.min(report.bearable, ceiling)),
        requestedAt,
        limitedAt: state?.limitedAt,
    };
}
