import type { RouteRule } from "./routeRule.js";

/**
 * Picks the service of a request according to the weights of its route.
 *
 * @param position Uniformly distributed in [0, 1).
 */
export function pickService({ backends }: Pick<RouteRule, "backends">, position: number): string {
    let rest = position * backends.reduce((sum, backend) => sum + backend.weight, 0);
    const picked = backends.find(backend => {
        rest -= backend.weight;
        return rest < 0;
    });
    return (picked ?? backends.at(-1))?.service ?? "";
}
