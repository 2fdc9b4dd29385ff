import type { ReportedRuns } from "../router/reportedRuns.js";

/** Reads the requests that a target runs from its report; `undefined` if that does not name the start of the process. */
export function parseRuns(report: unknown): ReportedRuns | undefined {
    const { born, runs } = (report ?? {}) as { readonly born?: unknown; readonly runs?: unknown; };
    if (!Number.isSafeInteger(born) || Number(born) <= 0 || !Array.isArray(runs)) {
        return undefined;
    }
    const ids = runs.map(run => Array.isArray(run) ? run[0] as unknown : undefined);
    return {
        startedAtMs: Number(born),
        requestIds: ids.filter((id): id is string => typeof id === "string" && id !== ""),
    };
}
