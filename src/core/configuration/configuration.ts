import type { z } from "zod";
import type { configurationSchema } from "./configurationSchema.js";

/** The set of operator objects: regions, data centres, shares, client accounts, services and targets. */
export type Configuration = z.output<typeof configurationSchema>;
