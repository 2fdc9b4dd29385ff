import type { Configuration } from "./configuration.js";

/** One entry of `Configuration.dataCentres`. */
export type DataCentre = Configuration["dataCentres"][number];
