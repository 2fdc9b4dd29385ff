const FIRST_STATUS = 100;
const LAST_STATUS = 599;

/** Returns whether a number is the status of an HTTP response (RFC 9110, section 15). */
export function isValidStatus(status: number): boolean {
    return status >= FIRST_STATUS && status <= LAST_STATUS;
}
