/** Attributes of a request that the scheduler needs; the body stays outside the scheduler. */
export interface RequestTicket {
    readonly requestId: string;
    readonly account: string;
    readonly service: string;
    /** Monotonic time in milliseconds after which the caller no longer wants a response. */
    readonly deadline: number;
    /** Estimated upper bound of the cost in tokens; `undefined` if the request states no token limit. */
    readonly hintedCost: number | undefined;
    /** Targets that failed this request, excluded while another target in service is left. */
    readonly excludedTargets: readonly string[];
}
