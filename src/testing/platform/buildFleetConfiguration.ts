/** Builds the configuration of a test fleet: two routes to engines for one account, two public ones to plain services. */
export function buildFleetConfiguration(
    version: number,
    engineSlots: number,
    apiKeys: readonly string[],
): object {
    const stream = {
        host: "h",
        kind: "streaming",
        timeoutMs: 5000,
        targetLatencyMs: 500,
        service: "engine",
    };
    const plain = { host: "h", timeoutMs: 1000, targetLatencyMs: 200, service: "plain", public: true };
    return {
        version,
        routes: [
            { ...stream, name: "stream", pathPrefix: "/stream/", maxAttempts: 3, resumable: true },
            { ...stream, name: "once", pathPrefix: "/once/", maxAttempts: 1, resumable: false },
            { ...plain, name: "safe", pathPrefix: "/safe/", kind: "safe", maxAttempts: 2 },
            { ...plain, name: "unsafe", pathPrefix: "/unsafe/", kind: "unsafe", maxAttempts: 2 },
        ],
        services: [
            { name: "engine", engine: { slots: engineSlots, kvTokens: 100_000 } },
            { name: "plain" },
        ],
        limits: { idleTimeoutMs: 15_000, maxBodyBytes: 65_536 },
        tenants: [{ name: "account", apiKeys }],
    };
}
