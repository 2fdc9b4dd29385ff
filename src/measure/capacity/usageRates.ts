/** Average resource usage of one daemon of a fleet; rates are per second of the measurement window. */
export interface UsageRates {
    /** Bytes sent to peers, by method of proto/peer.proto and in `total`. */
    readonly bytesSent: ReadonlyMap<string, number>;
    /** Calls to peers started, by method and in `total`. */
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
