import type { z } from "zod";
import type { daemonSettingsSchema } from "./daemonSettingsSchema.js";

/** Validated settings of one daemon. */
export type DaemonSettings = z.output<typeof daemonSettingsSchema>;
