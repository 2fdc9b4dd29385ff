import type { Locality } from "../core/routing/locality.js";
import type { SpillSettings } from "../core/spill/spillSettings.js";
import type { ListenAddress } from "../shared/listenAddress.js";

/** Settings of a router process. */
export interface RouterSettings {
    readonly instance: string;
    readonly locality: Locality;
    /** Region of each data centre. */
    readonly regionsByDataCentre: ReadonlyMap<string, string>;
    /** Address to which callers connect. */
    readonly callerAddress: ListenAddress;
    /** Address of the change feed (TCP) and for reports of peers (UDP); the port is the same at all instances. */
    readonly peerAddress: ListenAddress;
    /** Address for callers' connections that busy peers relay; the port is the same at all instances. Absent if nothing is relayed. */
    readonly relayAddress?: ListenAddress | undefined;
    /** Hosts of the instances that a starting instance contacts first; some may be down. */
    readonly seedHosts: readonly string[];
    /** Processor share relative to other instances. */
    readonly weight: number;
    readonly memoryBytes: number;
    /** Longest time in milliseconds without a byte of a body. Absent: the idle time-out of the configuration. */
    readonly bodyIdleMs?: number | undefined;
    /** Whether accounts over their share yield only while others lack capacity. @default where targets report how long work takes */
    readonly sharesIdleCapacity?: boolean | undefined;
    /** Whether refused requests are promised capacity, and wait when they come again. @default false */
    readonly reservesReturns?: boolean | undefined;
    /** Descriptors that the process may have open. */
    readonly maxDescriptors: number;
    /** Longest time from the stop signal to the end of the process, in milliseconds. */
    readonly stopTimeoutMs: number;
    /** Time in milliseconds for which keys are accepted after the configuration was last confirmed. */
    readonly keyFreshnessMs: number;
    /** Time in milliseconds after an outage of the store within which its changes must be in force. */
    readonly catchUpMs: number;
    /** Time in milliseconds within which a change of the targets or of the configuration must be in force. */
    readonly maxChangeDelayMs: number;
    /** Retry budget: retries as a share of the requests, and the sliding window over which both are counted. */
    readonly retryRatio: number;
    readonly retryWindowMs: number;
    /** The limit of a cold target is `coldRequestsPerSecond * coldFactor + coldSlack` requests per second. */
    readonly coldFactor: number;
    readonly coldSlack: number;
    /** Absent if requests leave their data centre by the score alone. */
    readonly spill?: SpillSettings | undefined;
    /** Term of a directory response (its time to live at callers), in seconds. */
    readonly addressTermSeconds: number;
}
