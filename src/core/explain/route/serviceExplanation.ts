interface PlacedTarget {
    readonly target: string;
    readonly dataCentre: string;
    readonly region: string;
}

/** What an instance would decide on a request for one service, as the page `/explain/route` shows it. Times are in milliseconds. */
export interface ServiceExplanation {
    readonly service: string;
    /** Share of the route's requests that the service gets, from 0 to 1. */
    readonly part: number;
    /** Status of the account, with figures that depend on the kind of instance. */
    readonly share: { readonly status: string; } & Readonly<Record<string, string | number>>;
    readonly outcome: {
        readonly kind: "grant" | "wait" | "refusal";
        /** Present for a grant. */
        readonly target?: string | undefined;
        /** Why the request waits or is refused. */
        readonly reason?: string | undefined;
        readonly retryAfterMs?: number | undefined;
    };
    /** Targets that the request could be sent to now, the best first. */
    readonly candidates: readonly (PlacedTarget & {
        /** Whether the request may be sent there now; others have capacity, but are worse. */
        readonly isPossible: boolean;
        /** Sum of the terms; `undefined` if the instance compares targets without a score. */
        readonly score: number | undefined;
        readonly terms: Readonly<Record<string, number>>;
    })[];
    readonly leftOut: readonly (PlacedTarget & { readonly reason: string; })[];
    /** Targets that are not listed, because there are too many. */
    readonly omitted: number;
    /** Whether the granted target is elsewhere; `undefined` without a grant. */
    readonly leavesDataCentre: boolean | undefined;
    readonly leavesRegion: boolean | undefined;
}
