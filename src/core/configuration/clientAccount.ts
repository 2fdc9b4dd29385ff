import type { Configuration } from "./configuration.js";

/** One entry of `Configuration.clientAccounts`. */
export type ClientAccount = Configuration["clientAccounts"][number];
