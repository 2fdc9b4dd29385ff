/** One decision that the daemon can explain later. */
export interface Decision {
    /** Wall-clock time in milliseconds. */
    readonly timeMs: number;
    /** What was decided, for example `queued`, `granted`, `refused`, `retried`, `resumed`, `takeover`. */
    readonly kind: string;
    /** Stable reason, the same text as in counters and logs. */
    readonly reason: string;
    readonly requestId?: string;
    readonly account?: string;
    readonly service?: string;
    readonly target?: string;
    /** Further values, such as waiting time or counters. */
    readonly fields?: Readonly<Record<string, string | number | boolean>>;
}
