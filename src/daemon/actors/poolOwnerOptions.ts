import type { LedgerPolicy } from "../../core/lease/ledgerPolicy.js";
import type { LoadReport } from "../../core/lease/loadReport.js";

/** What the owner of pools can be given instead of its defaults. */
export interface PoolOwnerOptions {
    readonly policy: LedgerPolicy;
    /** Reads the load report of the target at a base URL within a time in milliseconds; see `fetchLoad`. */
    readonly fetchLoad: (url: string, timeoutMs: number) => Promise<LoadReport | "refused" | undefined>;
    /** Time between two requests to the same lender. */
    readonly borrowIntervalMs: number;
    /** Time between two load reports of the same target. */
    readonly loadIntervalMs: number;
    /** A pool without demand for this long is given back. */
    readonly idleMs: number;
}
