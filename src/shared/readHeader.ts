/**
 * Reads a header from the text of a request's head with all its line ends.
 *
 * @param name Name of the header in any case, of letters and hyphens.
 * @returns The first value, or `undefined` without such a header.
 */
export function readHeader(head: string, name: string): string | undefined {
    return new RegExp(`\\r\\n${name}:[ \\t]*([^\\r]*)`, "i").exec(head)?.[1];
}
