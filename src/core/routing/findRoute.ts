import type { RouterConfiguration } from "./routerConfiguration.js";
import type { RouteRule } from "./routeRule.js";

/** Returns the route with the longest matching path prefix, or `undefined`. */
export function findRoute(
    configuration: RouterConfiguration,
    host: string,
    path: string,
): RouteRule | undefined {
    return configuration.routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
}
