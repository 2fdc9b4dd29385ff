/** How many requests this instance may have in flight at a target, and until when it may start them. */
export interface Allowance {
    readonly slots: number;
    readonly fencingNumber: number;
    /** Monotonic time in milliseconds after which no request may start. */
    readonly startDeadline: number;
}
