import type { LoadReport } from "./loadReport.js";

/** The owner's knowledge of the load of one target. */
export interface LoadState {
    readonly report: LoadReport;
    /** Most requests that the target may get, by the cold ramp. */
    readonly bearable: number;
    /** Monotonic time in milliseconds at which the report was requested. */
    readonly requestedAt: number;
    /** Monotonic time in milliseconds at which an answer last lowered the limit; `undefined` if none did. */
    readonly limitedAt?: number | undefined;
}
