import type { Instance } from "./instance.js";

/** The platform's list of instances, which may lag behind the actual state of the fleet. */
export interface InstanceList {
    readonly revision: number;
    readonly instances: readonly Instance[];
}
