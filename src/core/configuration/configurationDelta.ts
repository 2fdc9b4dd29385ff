import type { ConfigurationChange } from "./configurationChange.js";

/** The objects that differ between two configurations. */
export type ConfigurationDelta = readonly ConfigurationChange[];
