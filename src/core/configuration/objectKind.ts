import type { Configuration } from "./configuration.js";

/** Kind of operator object: the name of its list in the configuration. */
export type ObjectKind = keyof Configuration;
