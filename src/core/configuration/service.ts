import type { Configuration } from "./configuration.js";

/** One entry of `Configuration.services`. */
export type Service = Configuration["services"][number];
