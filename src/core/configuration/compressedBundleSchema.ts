import { z } from "zod";
import { configurationBundleSchema } from "./configurationBundleSchema.js";

/** Shape of a published bundle whose configuration is compressed. */
export const compressedBundleSchema = z.strictObject({
    revision: configurationBundleSchema.unwrap().shape.revision,
    digest: configurationBundleSchema.unwrap().shape.digest,
    encoding: z.literal("gzip+base64"),
    data: z.string(),
}).readonly();
