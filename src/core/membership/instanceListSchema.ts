import { z } from "zod";

const instance = z.object({
    name: z.string().min(1),
    dataCentre: z.string().min(1),
    callerAddress: z.string().default(""),
    peerAddress: z.string().default(""),
    relayAddress: z.string().optional(),
    operatorAddress: z.string().default(""),
    state: z.enum(["live", "leaving"]),
}).readonly();

/** Shape of the platform's instance list. Further fields are dropped: the platform may add some. */
export const instanceListSchema = z.object({
    /** Revisions begin with 1: between daemons, 0 stands for no list. */
    revision: z.int().positive(),
    instances: z.array(instance).readonly(),
}).readonly();
