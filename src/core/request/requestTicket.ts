/** What the scheduler needs to know about a request; the body stays with the caller adapter. */
export interface RequestTicket {
    readonly requestId: string;
    readonly account: string;
    readonly service: string;
    /** Monotonic time in milliseconds after which the caller no longer wants an answer. */
    readonly deadline: number;
    /** The caller's upper bound of the cost in tokens, if it gave one. */
    readonly hintedCost: number | undefined;
    /** Targets that already failed this request and should be avoided. */
    readonly avoidTargets: readonly string[];
}
