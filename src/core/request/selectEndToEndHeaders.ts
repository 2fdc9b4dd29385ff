import type { HttpHeaders } from "./httpHeaders.js";

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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
    const connectionOptions = new Set(String(headers["connection"] ?? "").toLowerCase().split(/\s*,\s*/));
    const forwarded: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (
            value === undefined || HOP_BY_HOP_HEADERS.has(name) || connectionOptions.has(name)
            || dropped.has(name)
        ) {
            continue;
        }
        forwarded[name] = value;
    }
    return forwarded;
}
