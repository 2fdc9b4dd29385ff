import type { Dispatcher } from "undici";

/** What every call of the client needs. */
export interface ExchangeOptions {
    /** Entry address, host:port. */
    readonly entry: string;
    readonly key: string;
    /** Account name, for records only. @default "" */
    readonly account?: string;
    /** Connection pool. @default undici's global one */
    readonly dispatcher?: Dispatcher;
    /** Remaining time that the caller states, in milliseconds. @default none stated */
    readonly deadlineMs?: number;
    /** Ends the call. @default undefined */
    readonly signal?: AbortSignal;
}
