/** A service as the router needs it. */
export interface RoutedService {
    readonly name: string;
    /** Connections that each target accepts from all instances together. */
    readonly maxConnections: number;
    /** Time in milliseconds for which a new target is cold. */
    readonly warmupMs: number;
    /** Requests a second that a cold target tolerates from all instances together; 0 if the service has no cold state. */
    readonly coldRequestsPerSecond: number;
    /** Present if the targets are model engines. */
    readonly engine: { readonly slots: number; readonly memoryTokens: number; } | undefined;
}
