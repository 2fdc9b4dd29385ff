import type { CallResult } from "../../standIns/client/callResult.js";
import type { TargetSummary } from "../../testing/targetSummary.js";

/** Describes failures by kind and each limit breach, for diagnosis. Times are relative to `startMs`. */
export function describeFindings(
    results: readonly CallResult[],
    summaries: readonly TargetSummary[],
    startMs: number,
): readonly string[] {
    const kinds = new Map<string, number>();
    for (const result of results.filter(candidate => !candidate.correct)) {
        const kind = [
            result.service,
            result.idempotencyKey === undefined ? "repeatable" : "non-repeatable",
            result.verdict,
            result.code ?? "no code",
            result.outcome ?? "no outcome",
        ].join(" ");
        kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
    }
    return [
        ...[...kinds].sort((a, b) => b[1] - a[1]).map(([kind, count]) => `${count} ${kind}`),
        ...summaries.flatMap(summary =>
            summary.breachRecords.map(breach =>
                `breach at ${summary.name} after ${breach.atMs - startMs} ms: ${breach.running} running, `
                + `${breach.bearable} bearable, ${breach.state}, cold since ${
                    breach.coldSinceMs - startMs
                } ms, `
                + (breach.noticedAtMs === undefined
                    ? "not shown"
                    : `shown at ${breach.noticedAtMs - startMs} ms`)
            )
        ),
    ];
}
