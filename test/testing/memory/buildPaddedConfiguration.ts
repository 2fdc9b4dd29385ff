const MAX_BODY_BYTES = 4_194_304;
const STREAM_TIMEOUT_MS = 15_000;
const PLAIN_TIMEOUT_MS = 5000;

/** Builds a configuration with public routes to engines and plain services, and routes to fill it up to a size in bytes. */
export function buildPaddedConfiguration(version: number, bytes: number): object {
    const stream = {
        host: "h",
        kind: "streaming",
        timeoutMs: STREAM_TIMEOUT_MS,
        targetLatencyMs: 800,
        service: "engine",
        public: true,
    };
    const plain = {
        host: "h",
        timeoutMs: PLAIN_TIMEOUT_MS,
        targetLatencyMs: 200,
        service: "plain",
        public: true,
        maxAttempts: 2,
    };
    const routes = [
        { ...stream, name: "stream", pathPrefix: "/stream/", maxAttempts: 2, resumable: true },
        { ...plain, name: "unsafe", pathPrefix: "/unsafe/", kind: "unsafe" },
        { ...plain, name: "known", pathPrefix: "/known/", kind: "safe", maxAttempts: 2 },
        { ...plain, name: "safe", pathPrefix: "/safe/", kind: "safe" },
    ];
    const makePadding = (i: number): object => ({
        ...(i % 2 === 0 ? { ...plain, kind: "safe" } : { ...stream, maxAttempts: 2, resumable: true }),
        name: `padding-${version}-${i}`,
        host: `padding-${i}`,
        pathPrefix: `/padding-${version}-${i}/`,
    });
    const count = Math.floor(bytes / JSON.stringify(makePadding(0)).length);
    return {
        version,
        routes: [...routes, ...Array.from({ length: count }, (_, i) => makePadding(i))],
        services: [
            { name: "engine", engine: { slots: 64, kvTokens: 400_000 } },
            { name: "plain" },
        ],
        limits: { idleTimeoutMs: 15_000, maxBodyBytes: MAX_BODY_BYTES },
    };
}
