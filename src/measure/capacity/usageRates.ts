/** What one daemon of a fleet spent on average; rates are per second of the window. */
export interface UsageRates {
    /** Control bytes sent, by method of proto/peer.proto and in `total`. */
    readonly bytesSent: ReadonlyMap<string, number>;
    /** Calls started, by method and in `total`. */
    readonly calls: ReadonlyMap<string, number>;
    /** Processor time in milliseconds per second. */
    readonly cpuMs: number;
    /** Resident memory at the end, in bytes. */
    readonly residentBytes: number;
    /** Requests from callers. */
    readonly requests: number;
    /** Calls of the whole fleet to the platform. */
    readonly platformCalls: number;
}
