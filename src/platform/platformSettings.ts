import type { RouterSettings } from "../router/routerSettings.js";

/** Settings of a router on the cooperative's platform. */
export interface PlatformSettings {
    readonly router: RouterSettings;
    readonly readiness: RouterSettings["callers"];
    readonly directory: RouterSettings["callers"];
    readonly store: RouterSettings["callers"];
}
