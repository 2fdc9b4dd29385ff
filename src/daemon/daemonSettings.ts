import type { z } from "zod";
import type { daemonSettingsSchema } from "./daemonSettingsSchema.js";

/** Checked settings of one daemon. */
export type DaemonSettings = z.output<typeof daemonSettingsSchema>;
