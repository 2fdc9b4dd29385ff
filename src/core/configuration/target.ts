import type { Configuration } from "./configuration.js";

/** One entry of `Configuration.targets`. */
export type Target = Configuration["targets"][number];
