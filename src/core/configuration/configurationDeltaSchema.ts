import { z } from "zod";
import { objectKinds } from "./objectKinds.js";

/** Shape of a delta received from another daemon. */
export const configurationDeltaSchema = z.array(z.object({
    kind: z.enum(objectKinds),
    name: z.string(),
    value: z.looseObject({ name: z.string() }).exactOptional(),
}));
