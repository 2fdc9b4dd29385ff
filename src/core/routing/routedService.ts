/** A service as the router needs it. */
export interface RoutedService {
    readonly name: string;
    /** Connections that each target accepts from all instances together. */
    readonly maxConnections: number;
    /** Time in milliseconds for which a new target is cold. */
    readonly warmupMs: number;
    /** Requests per second that a cold target tolerates from all instances together; 0 if targets are never cold. */
    readonly coldRequestsPerSecond: number;
    /** Shortest latency objective in milliseconds of the routes to the service. */
    readonly shortestObjectiveMs: number;
    /** Present if the targets are model engines. */
    readonly engine: {
        readonly slots: number;
        readonly memoryTokens: number;
        /** Bytes of one cached prompt token, and the rate at which an engine fetches them from another; 0 if unknown. */
        readonly tokenBytes: number;
        readonly linkMbps: number;
    } | undefined;
}
