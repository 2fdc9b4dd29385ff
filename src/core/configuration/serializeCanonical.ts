/**
 * Serializes a JSON value with object keys sorted and without white space, so that equal values give equal
 * text. Keys whose value is `undefined` are left out. Follows the key order of RFC 8785.
 */
export function serializeCanonical(value: unknown): string {
    if (Array.isArray(value)) {
        return `[${value.map(item => serializeCanonical(item ?? null)).join(",")}]`;
    }
    if (typeof value !== "object" || value === null) {
        return JSON.stringify(value);
    }
    const members = Object.entries(value)
        .filter(([, member]) => member !== undefined)
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([key, member]) => `${JSON.stringify(key)}:${serializeCanonical(member)}`);
    return `{${members.join(",")}}`;
}
