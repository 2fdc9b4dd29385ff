import { findRoute } from "../routing/findRoute.js";
import type { RouterConfiguration } from "../routing/routerConfiguration.js";

/** Returns the service to which all streams of a host and path go; `undefined` if there are several, or none. */
export function findSoleService(
    configuration: RouterConfiguration | undefined,
    host: string,
    path: string,
): string | undefined {
    const route = configuration && findRoute(configuration, host, path);
    const [backend, other] = route?.isResumable ? route.backends.filter(({ weight }) => weight > 0) : [];
    return other ? undefined : backend?.service;
}
