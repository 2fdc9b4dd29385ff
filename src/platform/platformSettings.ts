import type { RouterSettings } from "../router/routerSettings.js";

/** Settings of a router on the cooperative's platform. */
export interface PlatformSettings {
    readonly router: RouterSettings;
    /** Listen address for the readiness checks of the platform. */
    readonly readiness: RouterSettings["callers"];
    /** Listen address for the address lookups of callers. */
    readonly directory: RouterSettings["callers"];
    /** Address of the platform's store. */
    readonly store: RouterSettings["callers"];
}
