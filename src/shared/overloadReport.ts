/** What is logged of an overload. */
export interface OverloadReport {
    readonly isOverloaded: boolean;
    /** Connections that were refused since the last report. */
    readonly refused: number;
    /** Client account with the most of those whose account is known; `undefined` if there were none. */
    readonly topAccount: string | undefined;
    readonly topAccountRefused: number;
    /** Connections since the last report that were relayed to other instances. */
    readonly relayed: number;
    /** Requests since the last report that were served beyond the limit because their accounts ask for little. */
    readonly spared: number;
    /** Refused connections and measurements of the queue that have failed since the last report. */
    readonly failed: number;
    /** Code of the last of these errors; `undefined` if there was none. */
    readonly lastFailure: string | undefined;
    /** Longest time in milliseconds for which connections waited to be accepted when one of these was refused. */
    readonly maxWaitMs: number;
    /** Requests that are being read or served. */
    readonly active: number;
    /** Requests that are admitted in a second; infinite without a limit. */
    readonly perSecond: number;
}
