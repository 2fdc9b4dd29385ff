import { computeAggregationTree } from "../../core/fairness/computeAggregationTree.js";
import { computePercentile } from "../computePercentile.js";
import { makeScaleView } from "./makeScaleView.js";

interface ExchangeEstimate {
    /** Bytes that a node sends per second for counter exchanges, averaged over all nodes. */
    readonly meanBytes: number;
    readonly p50Bytes: number;
    readonly p95Bytes: number;
    readonly maxBytes: number;
    /** Fraction of the nodes that send more than 4,000 B/s. */
    readonly overBudgetShare: number;
    /** Expected number of accounts in the largest report. */
    readonly maxAccounts: number;
}

const BACKLOGGED = 520;
const OTHER_ACCOUNTS = 4_680;
const EXCHANGES_PER_SECOND = 2;
/** Half of a daemon's 45 requests/s, over half a second, are assumed to come from accounts without a backlog. */
const OTHER_REQUESTS = 11;
const BUDGET_BYTES = 4_000;
/** Linear fits of the series `exchange.reportBytes` and `exchange.replyBytes`, in bytes. */
const REPORT = { fixed: 90, perAccount: 7 };
const REPLY = { fixed: 53, perAccount: 12 };

/**
 * Estimates the traffic of counter exchanges in the production aggregation tree, without running daemons.
 *
 * @param spread Number of daemons, picked uniformly, at which each backlogged account has requests waiting.
 */
export function estimateExchange(instances: number, spread: number): ExchangeEstimate {
    const view = makeScaleView(instances);
    const names = view.instances.instances.map(instance => instance.name);
    const getRegion = (name: string): string | undefined => view.index?.dataCentres.get(name)?.region;
    const { parents } = computeAggregationTree(view.instances.instances, getRegion, view.suspected);
    const sizes = new Map<string, number>();
    for (const name of names) {
        for (let node: string | undefined = name; node !== undefined; node = parents.get(node)) {
            sizes.set(node, (sizes.get(node) ?? 0) + 1);
        }
    }
    const sent = new Map(names.map(name => [name, 0]));
    let maxAccounts = 0;
    for (const [child, parent] of parents) {
        const size = sizes.get(child) ?? 0;
        const accounts = BACKLOGGED * (1 - (1 - spread / instances) ** size)
            + OTHER_ACCOUNTS * (1 - (1 - 1 / OTHER_ACCOUNTS) ** (OTHER_REQUESTS * size));
        maxAccounts = Math.max(maxAccounts, accounts);
        const addBytes = (name: string, { fixed, perAccount }: typeof REPORT): void => {
            sent.set(name, (sent.get(name) ?? 0) + EXCHANGES_PER_SECOND * (fixed + perAccount * accounts));
        };
        addBytes(child, REPORT);
        addBytes(parent, REPLY);
    }
    const bytes = [...sent.values()];
    return {
        meanBytes: bytes.reduce((sum, value) => sum + value, 0) / bytes.length,
        p50Bytes: computePercentile(bytes, 50) ?? 0,
        p95Bytes: computePercentile(bytes, 95) ?? 0,
        maxBytes: Math.max(...bytes),
        overBudgetShare: bytes.filter(value => value > BUDGET_BYTES).length / bytes.length,
        maxAccounts,
    };
}
