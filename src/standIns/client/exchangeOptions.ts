import type { Dispatcher } from "undici";

/** Options that chat calls and plain calls share. */
export interface ExchangeOptions {
    /** Entry address, host:port. */
    readonly entry: string;
    readonly key: string;
    /** Name of the client account, only for the result. @default "" */
    readonly account?: string;
    /** Connection pool. @default undici's global dispatcher */
    readonly dispatcher?: Dispatcher;
    /** Remaining time in milliseconds that the caller states. @default none */
    readonly deadlineMs?: number;
    /** Aborts the call. @default undefined */
    readonly signal?: AbortSignal;
}
