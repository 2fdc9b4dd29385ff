const UUID_VERSION_7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Returns the wall-clock time in milliseconds at which an idempotency key was created; `undefined` if the key is not a
 * UUID version 7.
 *
 * @remarks RFC 9562, section 5.7: the first 48 bits are the Unix time in milliseconds.
 */
export function parseKeyTime(key: string): number | undefined {
    return UUID_VERSION_7.test(key) ? Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16) : undefined;
}
