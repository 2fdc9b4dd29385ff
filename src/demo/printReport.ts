import type { CallResult } from "../standIns/client/callResult.js";
import type { Fleet } from "../testing/fleet.js";

interface ReportOptions {
    readonly fleet: Fleet;
    readonly results: readonly CallResult[];
    readonly dataCentre: string;
    /** Wall-clock times in milliseconds at which the data centre went out of service and came back. */
    readonly outAtMs: number;
    readonly backAtMs: number;
}

/** Time after which a data centre that was taken out of service must get no new requests (invariant I4). */
const LAST_NEW_WORK_MS = 4_000;

/** Prints the results. Returns true if there were requests, each verified exactly once, and no order ran twice. */
export async function printReport(options: ReportOptions): Promise<boolean> {
    const { fleet, results } = options;
    const requests = collectBy(results, result => result.marker);
    const isVerified = (attempts: readonly CallResult[]): boolean =>
        attempts.filter(one => one.correct).length === 1;
    console.log("\nClient accounts");
    console.table(
        [...collectBy([...requests.values()], attempts => attempts[0]?.account ?? "")].map((
            [account, all],
        ) => ({
            account,
            requests: all.length,
            tokens: all.flat().reduce((sum, one) => sum + one.tokens, 0),
            orders: all.filter(attempts => attempts[0]?.idempotencyKey !== undefined).length,
            verified: all.filter(isVerified).length,
            refused: all.flat().filter(one => one.verdict === "refused").length,
        })).sort((a, b) => a.account < b.account ? -1 : 1),
    );
    console.log("Targets");
    console.table((await fleet.targets.readSummaries()).map(summary => {
        const target = fleet.configuration.targets.find(candidate => candidate.name === summary.name);
        return {
            target: summary.name,
            dataCentre: target?.dataCentre,
            requests: summary.arrivals,
            tokens: summary.tokens,
            peak: summary.peak,
            limit: target?.slotLimit,
            overLimit: summary.breaches,
        };
    }));
    console.log("Daemons");
    const byEntry = collectBy(results, result => result.entry);
    console.table(
        [...fleet.daemons].sort().map(name => {
            const attempts = byEntry.get(fleet.getDaemon(name).address) ?? [];
            return {
                daemon: name,
                requests: attempts.length,
                tokens: attempts.reduce((sum, one) => sum + one.tokens, 0),
                verified: attempts.filter(one => one.correct).length,
                refused: attempts.filter(one => one.verdict === "refused").length,
            };
        }),
    );
    const failures = results.filter(result => !result.correct);
    if (failures.length > 0) {
        console.log("Failed attempts; those with the outcome not-run are retried");
        console.table(
            [...collectBy(
                failures,
                ({ verdict, code, outcome }) => `${verdict} ${code ?? ""} ${outcome ?? ""}`,
            )]
                .map(([failure, attempts]) => ({
                    failure,
                    service: attempts[0]?.service,
                    attempts: attempts.length,
                })),
        );
    }
    const { late, repeated } = await countFaults(options);
    const failed = [...requests.values()].filter(attempts => !isVerified(attempts)).length;
    console.log(`Requests without a verified response: ${failed} of ${requests.size}.`);
    console.log(`Orders that ran more than once: ${repeated}.`);
    console.log(`Requests that ${options.dataCentre} got more than 4 s after it was taken out: ${late}.`);
    return failed === 0 && repeated === 0 && requests.size > 0;
}

async function countFaults(options: ReportOptions): Promise<{ late: number; repeated: number; }> {
    let late = 0;
    const runs = new Map<string, number>();
    for (const target of options.fleet.configuration.targets) {
        for (const arrival of await options.fleet.targets.readArrivals(target.name)) {
            const isLate = arrival.startMs > options.outAtMs + LAST_NEW_WORK_MS
                && arrival.startMs < options.backAtMs;
            late += target.dataCentre === options.dataCentre && isLate ? 1 : 0;
            if (target.service === "order-book" && arrival.ending !== "refused") {
                runs.set(arrival.marker, (runs.get(arrival.marker) ?? 0) + 1);
            }
        }
    }
    return { late, repeated: [...runs.values()].filter(count => count > 1).length };
}

function collectBy<T>(items: readonly T[], getKey: (item: T) => string): Map<string, T[]> {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const key = getKey(item);
        const group = groups.get(key) ?? [];
        groups.set(key, group);
        group.push(item);
    }
    return groups;
}
