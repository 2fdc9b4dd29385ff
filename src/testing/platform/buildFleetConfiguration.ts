import { OTHER_ACCOUNT_KEY } from "./otherAccountKey.js";

interface FleetConfigurationValues {
    readonly version: number;
    readonly engineSlots: number;
    readonly apiKeys: readonly string[];
    /** Longest time of a request to a plain service, and of an idle connection of a caller, in milliseconds. */
    readonly plainTimeoutMs?: number;
    readonly idleTimeoutMs?: number;
    /** Service of the safe route. */
    readonly safeService?: "plain" | "spare";
}

/** Builds the configuration of a test fleet: two routes to engines for two accounts, two public ones to plain services. */
export function buildFleetConfiguration({
    version,
    engineSlots,
    apiKeys,
    plainTimeoutMs = 1000,
    idleTimeoutMs = 15_000,
    safeService = "plain",
}: FleetConfigurationValues): object {
    const stream = {
        host: "h",
        kind: "streaming",
        timeoutMs: 5000,
        targetLatencyMs: 500,
        service: "engine",
    };
    const plain = {
        host: "h",
        timeoutMs: plainTimeoutMs,
        targetLatencyMs: 200,
        service: "plain",
        public: true,
    };
    return {
        version,
        routes: [
            { ...stream, name: "stream", pathPrefix: "/stream/", maxAttempts: 3, resumable: true },
            { ...stream, name: "once", pathPrefix: "/once/", maxAttempts: 1, resumable: false },
            {
                ...plain,
                name: "safe",
                pathPrefix: "/safe/",
                kind: "safe",
                maxAttempts: 2,
                service: safeService,
            },
            { ...plain, name: "unsafe", pathPrefix: "/unsafe/", kind: "unsafe", maxAttempts: 2 },
        ],
        services: [
            { name: "engine", engine: { slots: engineSlots, kvTokens: 100_000 } },
            { name: "plain" },
            { name: "spare" },
        ],
        limits: { idleTimeoutMs, maxBodyBytes: 65_536 },
        tenants: [{ name: "account", apiKeys }, { name: "other", apiKeys: [OTHER_ACCOUNT_KEY] }],
    };
}
