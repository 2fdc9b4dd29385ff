import { z } from "zod";

const address = z.string().regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    "must be an IPv4 address and a port, such as 127.0.0.1:8080",
);

/** Shape of the settings file of a daemon. */
export const daemonSettingsSchema = z.strictObject({
    /** Name of the instance in the platform's list. */
    instance: z.string().min(1),
    /** Name of the data centre that holds the instance. */
    dataCentre: z.string().min(1),
    /** Address for callers; port 0 takes a free port. */
    callerAddress: address,
    /** Address for other daemons; port 0 takes a free port. */
    peerAddress: address,
    /** Address for operators; port 0 takes a free port. */
    operatorAddress: address,
    /** Base URL of the platform. */
    platformUrl: z.url({ protocol: /^http$/ }),
    /** How slots are shared: `fleet` is the product, `local` and `fifo` are baselines for measurements. */
    policy: z.enum(["fleet", "local", "fifo"]).default("fleet"),
    /** Lowest level of log lines. */
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
    /** Addresses (host:port) to connect to instead of published ones, for hosts behind address translation. */
    addressMap: z.record(z.string(), address).default({}),
}).readonly();
