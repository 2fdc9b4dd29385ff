import type { RouteRule } from "../core/routing/routeRule.js";

/** Picks the service of a request at random, according to the weights of the route. */
export function pickBackend(route: RouteRule): string {
    const total = route.backends.reduce((sum, backend) => sum + backend.weight, 0);
    let position = Math.random() * total;
    for (const backend of route.backends) {
        position -= backend.weight;
        if (position < 0) {
            return backend.service;
        }
    }
    return route.backends.at(-1)?.service ?? "";
}
