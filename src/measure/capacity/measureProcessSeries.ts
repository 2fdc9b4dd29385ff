import { encodeSizes } from "./encodeSizes.js";
import { measureBundle } from "./measureBundle.js";
import { measureDemand } from "./measureDemand.js";
import { measureExchange } from "./measureExchange.js";
import { measureInstances } from "./measureInstances.js";
import { measureLedger } from "./measureLedger.js";
import type { SlopeSeries } from "./slopeSeries.js";

const TARGETS_PER_ACCOUNT = 4000 / 5200;
const POOL_TARGETS = 15;
const POOL_ENTRIES = 137;

/** Measures production functions in this process, where that is more exact than measuring a fleet. */
export function measureProcessSeries(seconds: number): readonly SlopeSeries[] {
    const exchanges = [65, 130, 260, 520, 2080].map(size => [size, measureExchange(size, seconds)] as const);
    const accountReports = [1, 4, 16, 64].map(size => [size, measureDemand(size, 2)] as const);
    const leaseReports = [1, 4, 16].map(size => [size, measureDemand(1, size)] as const);
    const messages = [2, 15, 30].map(size => [size, encodeSizes(size)] as const);
    const bundles = [1300, 2600, 5200].map(size =>
        [size, measureBundle(size, Math.round(size * TARGETS_PER_ACCOUNT), seconds)] as const
    );
    const fleets = [275, 550, 1100].map(size => [size, measureInstances(size, seconds)] as const);
    return [
        ...listSeries("exchange", "account in the report", "process", exchanges, {
            reportBytes: "B",
            replyBytes: "B",
            cpuUs: "us of child and parent",
        }),
        ...listSeries("demand", "account (2 leases)", "count", accountReports, {
            reportBytes: "B",
            replyBytes: "B",
        }),
        ...listSeries("demand", "lease (1 account)", "count", leaseReports, {
            reportBytes: "B",
            replyBytes: "B",
        }),
        ...listSeries("message", "target", "count", messages, {
            borrowBytes: "B of a request for slots",
            loanBytes: "B of its reply",
            holdingsRequestBytes: "B",
            holdingsReplyBytes: "B",
            claimBytes: "B of request and reply",
            settleBytes: "B of request and reply",
            checkBytes: "B of request and empty reply",
        }),
        {
            name: "ledger.report",
            per: `entry (${POOL_TARGETS} targets)`,
            unit: "us a report",
            method: "process",
            points: [16, 64, POOL_ENTRIES].map(size => [size, measureLedger(size, POOL_TARGETS, seconds)]),
        },
        {
            name: "ledger.report",
            per: `target (${POOL_ENTRIES} entries)`,
            unit: "us a report",
            method: "process",
            points: [8, 15, 30].map(size => [size, measureLedger(POOL_ENTRIES, size, seconds)]),
        },
        ...listSeries("bundle", "account (and 0.77 targets)", "process", bundles, {
            bundleBytes: "B",
            gzipBytes: "B",
            deltaBytes: "B for one account",
            checkMs: "ms",
            deltaMs: "ms",
            indexMs: "ms",
            heapBytes: "B",
        }),
        ...listSeries("instances", "instance", "process", fleets, {
            listBytes: "B",
            entriesBytes: "B",
            treeMs: "ms",
            parseMs: "ms",
            ownerMs: "ms",
            heapBytes: "B",
        }),
    ];
}

function listSeries<T extends object>(
    name: string,
    per: string,
    method: SlopeSeries["method"],
    points: readonly (readonly [size: number, cost: T])[],
    units: Readonly<Record<keyof T & string, string>>,
): readonly SlopeSeries[] {
    return Object.entries<string>(units).map(([quantity, unit]) => ({
        name: `${name}.${quantity}`,
        per,
        unit,
        method,
        points: points.map(([size, cost]) => [size, Number(cost[quantity as keyof T])]),
    }));
}
