import type { Place } from "../core/routing/place.js";

interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Settings of a router process. */
export interface RouterSettings {
    readonly instance: string;
    readonly place: Place;
    /** Region of each data centre. */
    readonly regions: ReadonlyMap<string, string>;
    /** Where callers connect. */
    readonly callers: ListenAddress;
    /** Where other instances send their reports (UDP); the port is the same at all instances. */
    readonly peers: ListenAddress;
    /** Hosts of instances that a starting one asks first; some may be down. */
    readonly seedHosts: readonly string[];
    /** Processor share relative to other instances. */
    readonly weight: number;
    readonly memoryBytes: number;
    /** Longest time from the order to stop to the end of the process, in milliseconds. */
    readonly stopTimeoutMs: number;
    /** A key may be used this long after the configuration was last confirmed, in milliseconds. */
    readonly keyFreshnessMs: number;
    /** Retries at most, as a share of the requests, and the time over which both are counted. */
    readonly retryRatio: number;
    readonly retryWindowMs: number;
    readonly coldFactor: number;
    readonly coldSlack: number;
    /** Term of an answer that lists addresses, in seconds. */
    readonly addressTermSeconds: number;
}
