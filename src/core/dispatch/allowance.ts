/** How many requests this daemon may have in flight at a target. */
export interface Allowance {
    readonly slots: number;
    readonly fencingNumber: number;
    /** Monotonic time in milliseconds after which no request may start. */
    readonly startDeadline: number;
}
