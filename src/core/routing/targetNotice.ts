/** What a response of a target says of the requests that the target wants from now on. */
export interface TargetNotice {
    /** True if the target says that it leaves. */
    readonly isLeaving: boolean;
    /** Time in milliseconds for which the target wants no requests of this instance; `undefined` if it states none. */
    readonly pauseMs: number | undefined;
    /** Names of headers whose values are unreadable or repeated. */
    readonly unusualHeaders: readonly string[];
}
