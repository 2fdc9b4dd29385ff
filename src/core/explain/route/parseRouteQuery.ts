import type { RouteQuery } from "./routeQuery.js";
import { routeQuerySchema } from "./routeQuerySchema.js";

type ParsedQuery =
    | { readonly query: RouteQuery; readonly faults?: undefined; }
    | { readonly query?: undefined; readonly faults: readonly string[]; };

/** Parses the body of a request for an explanation. The faults name members, but no values, which may be keys. */
export function parseRouteQuery(text: string): ParsedQuery {
    const result = routeQuerySchema.safeParse(tryParse(text));
    if (result.success) {
        return { query: result.data };
    }
    return {
        faults: result.error.issues.map(({ path, code, message }) =>
            // The message would repeat the unknown names.
            `${path.join(".") || "query"}: ${code === "unrecognized_keys" ? "has unknown members" : message}`
        ),
    };
}

function tryParse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
