import { z } from "zod";

const addressSchema = z.string().regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    "must be an IPv4 address and a port, such as 127.0.0.1:8080",
);

/** Shape of the settings file of a daemon. */
export const daemonSettingsSchema = z.strictObject({
    /** Name of the instance in the instance list of the platform. */
    instance: z.string().min(1),
    /** Name of the data centre that holds the instance. */
    dataCentre: z.string().min(1),
    /** Address for callers; port 0 takes a free port. */
    callerAddress: addressSchema,
    /** Address for peers; port 0 takes a free port. */
    peerAddress: addressSchema,
    /** Address for callers' connections that busy peers relay; port 0 takes a free port. Absent if it accepts none. */
    relayAddress: addressSchema.optional(),
    /** Address for operators; port 0 takes a free port. */
    operatorAddress: addressSchema,
    /** Base URL of the platform. */
    platformUrl: z.url({ protocol: /^http$/ }),
    /** Longest wait of one watch call to the platform in milliseconds. */
    platformWatchMs: z.int().min(100).max(60_000).default(10_000),
    /** Time between two checks of a peer for a newer configuration, in milliseconds. */
    peerCheckIntervalMs: z.int().min(10).max(2000).default(1000),
    /** A daemon that learns no revisions from peers for this many milliseconds watches the platform itself. */
    silenceLimitMs: z.int().min(100).default(5000),
    /** Addresses (host:port) to connect to instead of published ones, for hosts behind address translation. */
    addressMap: z.record(z.string(), addressSchema).default({}),
    /**
     * Peer addresses (host:port) of a few other daemons. A starting daemon requests the configuration and the instance
     * list from them and from the peers that the platform lists; without a list they are the only known peers.
     */
    peerSeeds: z.array(addressSchema).max(16).default([]),
    /** How slots are shared: `fleet` is for production, `local` and `fifo` are baselines for benchmarks. */
    policy: z.enum(["fleet", "local", "fifo"]).default("fleet"),
    /** Time in milliseconds for which a response to `GET /v1/entries` is valid; the same on all instances. */
    entriesTermMs: z.number().int().positive().default(5000),
    /** Longest time in milliseconds for which no byte of a request's body arrives. */
    bodyIdleTimeoutMs: z.int().min(1000).max(3_600_000).default(15_000),
    /**
     * Time in milliseconds for which a start waits for ports that are in use. Longer than a predecessor takes to finish
     * requests with the default deadline.
     */
    portTimeoutMs: z.int().nonnegative().default(120_000),
    /** Lowest level of log lines. */
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
}).readonly();
