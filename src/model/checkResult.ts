/** Outcome of the check of one specification. */
export interface CheckResult {
    readonly states: number;
    readonly transitions: number;
    /** One for each invariant that fails, with a shortest sequence of events that leads to it. */
    readonly violations: readonly { readonly invariant: string; readonly events: readonly string[]; }[];
}
