import type { LedgerPolicy } from "../../core/lease/ledgerPolicy.js";
import type { LoadReport } from "../../core/lease/loadReport.js";

/** Options of the pool owner; `PoolOwner.create` fills in defaults. */
export interface PoolOwnerOptions {
    readonly policy: LedgerPolicy;
    /** Reads the load report of the target at a base URL within a time in milliseconds; see `fetchLoad`. */
    readonly fetchLoad: (url: string, timeoutMs: number) => Promise<LoadReport | "refused" | undefined>;
    /** Time between two requests to the same lender; also the timeout of these calls and of lease pushes. */
    readonly borrowIntervalMs: number;
    /** Time between two reads of the load of a target, and the timeout of a read. */
    readonly loadIntervalMs: number;
    /** A pool without demand reports for this long is closed once no entry uses its slots. */
    readonly idleMs: number;
}
