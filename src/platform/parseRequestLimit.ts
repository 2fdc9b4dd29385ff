import type { LimitStatement } from "../core/limits/limitStatement.js";

const LIMIT_PATTERN = /^\d{1,9}(\.\d{1,9})?$/;

/**
 * Parses the values of the headers with which a server names the requests per second that it takes. Of several
 * readable values the lowest counts.
 */
export function parseRequestLimit(values: readonly string[] | undefined): LimitStatement {
    if (values === undefined || values.length === 0) {
        return { kind: "none" };
    }
    const readable = values.map(value => value.trim()).filter(value => LIMIT_PATTERN.test(value));
    if (readable.length === 0) {
        return { kind: "invalid", reason: "unreadable" };
    }
    const perSecond = Math.min(...readable.map(Number));
    return { kind: "named", perSecond, reason: describeNote(values, perSecond) };
}

function describeNote(values: readonly string[], perSecond: number): string | undefined {
    if (values.length > 1) {
        return "repeated";
    }
    return perSecond === 0 ? "zero" : undefined;
}
