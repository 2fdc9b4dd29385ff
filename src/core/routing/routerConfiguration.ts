import type { RoutedAccount } from "./routedAccount.js";
import type { RoutedService } from "./routedService.js";
import type { RouteRule } from "./routeRule.js";

/** One version of the configuration, checked and indexed for the router. */
export interface RouterConfiguration {
    readonly version: number;
    /** Rules by host, the longest prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly RouteRule[]>;
    readonly services: ReadonlyMap<string, RoutedService>;
    /** False if the configuration declares no client accounts, so that no request needs a key. */
    readonly hasAccounts: boolean;
    /** Client accounts by the key that their callers send. */
    readonly accountsByKey: ReadonlyMap<string, RoutedAccount>;
    readonly limits: {
        readonly maxHeaderBytes: number;
        readonly maxBodyBytes: number;
        readonly headerTimeoutMs: number;
        readonly idleTimeoutMs: number;
        /** Tokens a second that all engines process together, a generated token counted twice; 0 if unknown. */
        readonly tokensPerSecond: number;
    };
}
