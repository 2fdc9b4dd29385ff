import type { RouterConfiguration } from "../../../src/core/routing/routerConfiguration.js";
import type { RouteRule } from "../../../src/core/routing/routeRule.js";

/** Makes a configuration of the routes of one host; those with the longest prefix come first. */
export function makeStreamConfiguration(routes: readonly RouteRule[]): RouterConfiguration {
    const host = routes[0]?.host ?? "";
    return { version: 1, routesByHost: new Map([[host, routes]]) } as unknown as RouterConfiguration;
}
