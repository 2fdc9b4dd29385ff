import type { RouterSettings } from "../router/routerSettings.js";

/** Settings of a router on the cooperative's platform. */
export interface PlatformSettings {
    readonly router: RouterSettings;
    /** Time in milliseconds for which a start waits for ports that are in use. */
    readonly portWaitMs: number;
    /** Listen address for the readiness checks of the platform. */
    readonly readinessAddress: RouterSettings["callerAddress"];
    /** Listen address for the address lookups of callers. */
    readonly directoryAddress: RouterSettings["callerAddress"];
    /** Address of the platform's store. */
    readonly storeAddress: RouterSettings["callerAddress"];
}
