import type { TargetNotice } from "../core/routing/targetNotice.js";

interface NoticeHeaders {
    readonly statusCode: number | undefined;
    /** Values of the headers; `undefined` if there is none of the name. */
    readonly leaving: readonly string[] | undefined;
    readonly retryAfter: readonly string[] | undefined;
    /** Unix milliseconds. */
    readonly timeOfDay: number;
}

const SERVICE_UNAVAILABLE = 503;
const LEAVING = "1";
const SECONDS_PATTERN = /^\d{1,9}(\.\d{1,9})?$/;
/** Date of RFC 9110, section 5.6.7. */
const DATE_PATTERN = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;
const MS_PER_SECOND = 1000;

/**
 * Parses the headers with which a server says that it leaves (`Server-Leaving: 1`), or with a 503 that it wants no requests
 * for some time (`Retry-After`, seconds or a date). Of several readable times the longest counts.
 */
export function parseTargetNotice(
    { statusCode, leaving, retryAfter, timeOfDay }: NoticeHeaders,
): TargetNotice {
    const pauses = statusCode === SERVICE_UNAVAILABLE
        ? (retryAfter ?? []).map(value => parsePause(value.trim(), timeOfDay))
        : [];
    const readable = pauses.filter(pauseMs => pauseMs !== undefined);
    const statements = (leaving ?? []).map(value => value.trim() === LEAVING);
    return {
        isLeaving: statements.includes(true),
        pauseMs: readable.length > 0 ? Math.max(...readable) : undefined,
        unusualHeaders: [
            ...(statements.length > 1 || statements.includes(false) ? ["Server-Leaving"] : []),
            ...(pauses.length > 1 || readable.length < pauses.length ? ["Retry-After"] : []),
        ],
    };
}

function parsePause(value: string, timeOfDay: number): number | undefined {
    if (SECONDS_PATTERN.test(value)) {
        return Number(value) * MS_PER_SECOND;
    }
    return DATE_PATTERN.test(value) ? Math.max(0, Date.parse(value) - timeOfDay) : undefined;
}
