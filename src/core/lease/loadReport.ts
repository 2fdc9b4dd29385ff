/** What a target reports about its load. */
export interface LoadReport {
    /** Changes at each start of the target. */
    readonly epoch: string;
    readonly state: "cold" | "warm";
    /** Requests in flight at the target. */
    readonly running: number;
    /** Most requests that the target can handle at this time. */
    readonly bearable: number;
    /** Time of measurement on the target's clock in milliseconds; only compared with other times of the same target. */
    readonly measuredAtMs: number;
}
