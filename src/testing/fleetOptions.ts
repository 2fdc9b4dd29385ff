import type { z } from "zod";
import type { configurationSchema } from "../core/configuration/configurationSchema.js";

/** Options of a test fleet. */
export interface FleetOptions {
    /** The `url` of each target is replaced with the address of its stand-in. */
    readonly configuration: z.input<typeof configurationSchema>;
    /** Daemons by name, with their data centre. */
    readonly instances: Readonly<Record<string, string>>;
    /** Settings of every engine stand-in; limits come from the configuration. @default the stand-in's */
    readonly engine?: object;
    /** Settings of every plain service stand-in. @default the stand-in's */
    readonly plainService?: object;
    /** Further settings of every daemon, such as `policy`. @default none */
    readonly daemon?: object;
    /** Connects each daemon to each peer, each target and the platform through a fault proxy link. @default false */
    readonly proxied?: boolean;
    /** One-way delay in milliseconds of links between two regions, when proxied. @default 0 */
    readonly regionDelayMs?: number;
    /** Directory for the logs of daemons. @default no logs */
    readonly logDirectory?: string;
}
