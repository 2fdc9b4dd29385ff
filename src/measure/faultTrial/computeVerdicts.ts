import type { CallResult } from "../../standIns/client/callResult.js";
import type { Arrival } from "../../standIns/target/arrival.js";
import type { PlannedStop } from "./plannedStop.js";
import type { VerdictCounts } from "./verdictCounts.js";

/** Checks the responses to callers against the requests that arrived at the targets. */
export function computeVerdicts(
    results: readonly CallResult[],
    unanswered: number,
    arrivals: readonly Arrival[],
    stops: readonly PlannedStop[],
): VerdictCounts {
    const runs = new Map<string, number>();
    const keyed = new Set<string>();
    for (const arrival of arrivals.filter(candidate => candidate.ending !== "refused")) {
        runs.set(arrival.marker, (runs.get(arrival.marker) ?? 0) + 1);
        if (arrival.idempotencyKey !== "") {
            keyed.add(arrival.marker);
        }
    }
    const orders = new Set(
        results.filter(result => result.idempotencyKey !== undefined).map(result => result.marker),
    );
    const countRuns = (result: CallResult): number => runs.get(result.marker) ?? 0;
    const count = (matches: (result: CallResult) => boolean): number => results.filter(matches).length;
    const hasEndedIn = (result: CallResult, stop: PlannedStop): boolean =>
        result.entry === stop.entry && result.endMs >= stop.fromMs && result.startMs <= stop.toMs;
    return {
        requests: results.length + unanswered,
        wrongAnswers: count(result => result.verdict === "wrong"),
        doubled: [...new Set([...orders, ...keyed])].filter(marker => (runs.get(marker) ?? 0) > 1).length,
        lost: unanswered + count(result => result.correct && countRuns(result) === 0),
        falseRefusals: count(result => isReportedNotRun(result) && countRuns(result) > 0),
        unknown: count(result => !result.correct && result.verdict !== "wrong" && !isReportedNotRun(result)),
        cutByPlannedStop: count(result =>
            result.verdict === "incomplete" && stops.some(stop => hasEndedIn(result, stop))
        ),
    };
}

function isReportedNotRun(result: CallResult): boolean {
    return result.outcome === "not-run" || result.verdict === "unreachable";
}
