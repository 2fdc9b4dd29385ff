import type { Instance } from "./instance.js";

/** The platform's list of instances, which lags behind reality. */
export interface InstanceList {
    readonly revision: number;
    readonly instances: readonly Instance[];
}
