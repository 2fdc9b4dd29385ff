import type { RouterConfiguration } from "./routerConfiguration.js";
import type { RouteRule } from "./routeRule.js";

/** Returns the route with the longest matching path prefix, or `undefined`. */
export function findRoute(
    { routesByHost }: Pick<RouterConfiguration, "routesByHost">,
    host: string,
    path: string,
): RouteRule | undefined {
    return routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
}
