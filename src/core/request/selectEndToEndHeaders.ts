import type { HttpHeaders } from "./httpHeaders.js";

const HOP_BY_HOP: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/**
 * Returns the headers that a proxy forwards; names are in lower case.
 *
 * @param dropped Further headers that the proxy replaces or does not forward.
 * @remarks RFC 9110, section 7.6.1: also drops the headers that the Connection header names.
 */
export function selectEndToEndHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
    dropped: ReadonlySet<string>,
): HttpHeaders {
    const named = new Set(String(headers["connection"] ?? "").toLowerCase().split(/\s*,\s*/));
    const kept: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value === undefined || HOP_BY_HOP.has(name) || named.has(name) || dropped.has(name)) {
            continue;
        }
        kept[name] = value;
    }
    return kept;
}
