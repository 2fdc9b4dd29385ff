import type { RouterConfiguration } from "./routerConfiguration.js";
import type { RouteRule } from "./routeRule.js";

/** Returns the rule with the longest prefix that begins the path, or `undefined`. */
export function findRoute(
    configuration: RouterConfiguration,
    host: string,
    path: string,
): RouteRule | undefined {
    return configuration.routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
}
