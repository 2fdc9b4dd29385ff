/** A service as the router needs it. */
export interface RoutedService {
    readonly name: string;
    /** Connections that each target accepts from all instances together. */
    readonly maxConnections: number;
    /** Time in milliseconds for which a new target is cold. */
    readonly warmupMs: number;
    /** Requests per second that a cold target tolerates from all instances together; 0 if targets are never cold. */
    readonly coldRequestsPerSecond: number;
    /** Present if the targets are model engines. */
    readonly engine: { readonly slots: number; readonly memoryTokens: number; } | undefined;
}
