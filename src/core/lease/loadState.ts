import type { LoadReport } from "./loadReport.js";

/** What the owner knows of the load of one target. */
export interface LoadState {
    readonly report: LoadReport;
    /** Load limit: the most requests that the slow start of the target allows in flight. */
    readonly bearable: number;
    /** Monotonic time in milliseconds at which the report was requested. */
    readonly requestedAt: number;
    /**
     * Monotonic time in milliseconds at which a response or a refused connection last lowered the limit; `undefined` if
     * none did.
     */
    readonly limitedAt?: number | undefined;
}
