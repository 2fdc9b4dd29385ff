/** Result of checking one specification. */
export interface CheckResult {
    readonly states: number;
    readonly transitions: number;
    /** Invariants that do not hold, each with a shortest sequence of events that violates it. */
    readonly violations: readonly { readonly invariant: string; readonly events: readonly string[]; }[];
}
