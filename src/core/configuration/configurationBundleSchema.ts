import { z } from "zod";

/** Shape of a published bundle; the configuration in it is checked by `validateConfiguration`. */
export const configurationBundleSchema = z.strictObject({
    /** Revisions begin with 1: between daemons, 0 stands for no configuration. */
    revision: z.int().positive(),
    digest: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in hex"),
    configuration: z.unknown(),
}).readonly();
