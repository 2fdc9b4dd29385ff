import type { RoutedAccount } from "./routedAccount.js";
import type { RouterConfiguration } from "./routerConfiguration.js";
import type { RouteRule } from "./routeRule.js";

/** Returns the client account of a request, `undefined` if none is required, or `unknown` if no account has the key. */
export function resolveAccount(
    configuration: RouterConfiguration,
    route: RouteRule,
    key: string | undefined,
): RoutedAccount | "unknown" | undefined {
    if (!configuration.hasAccounts || route.isPublic) {
        return undefined;
    }
    return configuration.accountsByKey.get(key ?? "") ?? "unknown";
}
