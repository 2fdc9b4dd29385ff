import { RequestError } from "../../core/errors/requestError.js";

const DEFAULT_DEADLINE_MS = 60_000;
const MAX_DEADLINE_MS = 3_600_000;

/**
 * Converts the remaining milliseconds of `x-deadline-ms` to a monotonic deadline; the default is 60 s.
 *
 * @throws RequestError `malformed-deadline`
 */
export function parseDeadline(header: string | string[] | undefined, now: number): number {
    if (header === undefined) {
        return now + DEFAULT_DEADLINE_MS;
    }
    const remainingMs = /^\d{1,9}$/.test(String(header)) ? Number(header) : 0;
    if (remainingMs < 1 || remainingMs > MAX_DEADLINE_MS) {
        throw RequestError.create(
            "malformed-deadline",
            `x-deadline-ms must be a whole number from 1 to ${MAX_DEADLINE_MS}.`,
        );
    }
    return now + remainingMs;
}
